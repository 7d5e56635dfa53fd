/**
 * Schemas of the daemon's settings, one for each role.
 */
import { assertNever, Role } from "@eelgrassfront/model";
import {
  address,
  addresses,
  count,
  duration,
  identifier,
  origin,
  readSettings,
  secret,
  section,
  type SettingsResult,
  SettingsResultKind,
  size,
} from "@eelgrassfront/settings-ini";
import * as zod from "zod";
import { checkSettings } from "./settings_checks.ts";

const common = {
  peers: section({
    listen: address,
    shared_key: secret,
    seeds: addresses.optional(),
  }),
  operators: section({ listen: address, token: secret }),
  platform_log: section({ origin, read_wait: duration, retention: duration }),
  ownership: section({ shards: count, owners: count }),
  timing: section({
    heartbeat: duration,
    unreachable: duration,
    lease: duration,
    removal: duration,
    horizon: duration,
  }),
  metrics: section({ receiver: address }).optional(),
};

const roles = Object.values(Role).join(", ");
const roleSchema = zod.looseObject({
  process: zod.looseObject({ role: zod.enum(Role, roles) }, "a section"),
});

const identity = { name: identifier, availability_zone: identifier };

const entryObject = section({
  process: section({ role: zod.literal(Role.Entry), ...identity }),
  ...common,
  callers: section({
    listen: address,
    maximum_body: size,
    maximum_bodies: size,
    maximum_tasks: count,
    maximum_deadline: duration,
    maximum_connections: count,
    maximum_pending: count,
    maximum_headers: count,
    maximum_header_size: size,
    header_time: duration,
    body_time: duration,
  }),
  teams: zod.record(zod.string(), secret).optional(),
});

const sidecarObject = section({
  process: section({ role: zod.literal(Role.Sidecar), ...identity }),
  ...common,
  backend_server: section({
    origin,
    connections: count,
    description_interval: duration,
  }),
  runner: section({
    kept_results: size,
    queued_tasks: count,
  }),
  owner: section({
    kept_answers: size,
  }),
});

const entrySchema = entryObject.check(checkSettings);
const sidecarSchema = sidecarObject.check(checkSettings);

/** Settings of an entry. */
export type EntrySettings = zod.infer<typeof entrySchema>;

/** Settings of a sidecar. */
export type SidecarSettings = zod.infer<typeof sidecarSchema>;

/** Settings of a daemon, by role. */
export type DaemonSettings = EntrySettings | SidecarSettings;

/** Reads the settings of a daemon by the schema of the role that they contain. */
export function readDaemonSettings(
  file: string,
  text: string,
): SettingsResult<DaemonSettings> {
  const named = readSettings({ file, text, schema: roleSchema });
  if (named.kind === SettingsResultKind.Invalid) return named;
  const { role } = named.settings.process;
  switch (role) {
    case Role.Entry:
      return readSettings({ file, text, schema: entrySchema });
    case Role.Sidecar:
      return readSettings({ file, text, schema: sidecarSchema });
    default:
      return assertNever(role);
  }
}

/** Returns every section of a role's settings with its keys; a section with arbitrary keys has none. */
export function settingsKeys(
  role: Role,
): ReadonlyMap<string, readonly string[]> {
  const { shape } = role === Role.Entry ? entryObject : sidecarObject;
  return new Map(
    Object.entries(shape).map(([name, schema]) => [name, keysOf(schema)]),
  );
}

function keysOf(schema: unknown): readonly string[] {
  const inner = schema instanceof zod.ZodOptional ? schema.unwrap() : schema;
  return inner instanceof zod.ZodObject ? Object.keys(inner.shape) : [];
}
