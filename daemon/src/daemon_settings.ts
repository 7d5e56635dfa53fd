/**
 * Schema of the daemon's settings.
 */
import {
  address,
  addresses,
  count,
  duration,
  size,
  text,
} from "@eelgrassfront/settings-ini";
import { Role } from "@eelgrassfront/model";
import { z } from "zod";

const common = {
  peers: z.strictObject({
    listen: address,
    shared_key: text,
    seeds: addresses.optional(),
  }),
  operators: z.strictObject({ listen: address, token: text }),
  platform_log: z.strictObject({
    origin: text,
    read_wait: duration,
    retention: duration,
  }),
  ownership: z.strictObject({ shards: count, owners: count }),
  timing: z.strictObject({
    heartbeat: duration,
    unreachable: duration,
    lease: duration,
    removal: duration,
    horizon: duration,
  }),
  metrics: z.strictObject({ receiver: address }).optional(),
};

const identity = { name: text, availability_zone: text };

const entrySchema = z.strictObject({
  process: z.strictObject({ role: z.literal(Role.Entry), ...identity }),
  ...common,
  callers: z.strictObject({
    listen: address,
    maximum_body: size,
    maximum_tasks: count,
    maximum_connections: count,
    maximum_pending: count,
    maximum_headers: count,
    maximum_header_size: size,
    header_time: duration,
    body_time: duration,
  }),
  teams: z.record(z.string(), text).optional(),
});

const sidecarSchema = z.strictObject({
  process: z.strictObject({ role: z.literal(Role.Sidecar), ...identity }),
  ...common,
  backend_server: z.strictObject({
    origin: text,
    connections: count,
    description_interval: duration,
  }),
  runner: z.strictObject({
    kept_results: size,
    queued_tasks: count,
  }),
  owner: z.strictObject({
    kept_answers: size,
    waiting_per_runner: count,
  }),
});

/** Settings of an entry. */
export type EntrySettings = z.infer<typeof entrySchema>;

/** Settings of a sidecar. */
export type SidecarSettings = z.infer<typeof sidecarSchema>;

/** Settings of a daemon, by role. */
export type DaemonSettings = EntrySettings | SidecarSettings;

/** Schema that the settings file of a role must keep. */
export function schemaFor(role: Role): z.ZodType<DaemonSettings> {
  switch (role) {
    case Role.Entry:
      return entrySchema;
    case Role.Sidecar:
      return sidecarSchema;
  }
}
