/**
 * Creates the settings files of the processes in a local system.
 */
import { stringify } from "ini";

/** Settings in which the entries of a local system differ. `peers`, `callers` and `operators` are ports. */
export interface EntrySettingsOptions {
  readonly name: string;
  readonly availabilityZone: string;
  readonly peers: number;
  readonly callers: number;
  readonly operators: number;
  readonly logOrigin: string;
  /** Addresses of processes to contact while the log is unavailable. */
  readonly seeds: readonly string[];
  readonly metricsReceiver: string | undefined;
}

/** Settings in which the sidecars of a local system differ. `peers` and `operators` are ports. */
export interface SidecarSettingsOptions {
  readonly name: string;
  readonly availabilityZone: string;
  readonly peers: number;
  readonly operators: number;
  readonly backendServerOrigin: string;
  readonly logOrigin: string;
  /** Addresses of processes to contact while the log is unavailable. */
  readonly seeds: readonly string[];
  readonly metricsReceiver: string | undefined;
}

/** Token for the operators' interface of every process in a local system. */
export const LOCAL_OPERATORS_TOKEN = "local-operators-token";

const SHARDS = 64;
const OWNERS = 3;

/** Returns the settings file of an entry. */
export function entrySettings(entry: EntrySettingsOptions): string {
  return stringify({
    process: {
      role: "entry",
      name: entry.name,
      availability_zone: entry.availabilityZone,
    },
    ...commonSettings(entry),
    callers: {
      listen: `127.0.0.1:${entry.callers}`,
      maximum_body: "8MiB",
      maximum_bodies: "64MiB",
      maximum_tasks: 220,
      maximum_deadline: "5min",
      maximum_connections: 10_000,
      maximum_pending: 10_000,
      maximum_headers: 64,
      maximum_header_size: "16KiB",
      header_time: "5s",
      body_time: "10s",
    },
  });
}

/** Returns the settings file of a sidecar. */
export function sidecarSettings(sidecar: SidecarSettingsOptions): string {
  return stringify({
    process: {
      role: "sidecar",
      name: sidecar.name,
      availability_zone: sidecar.availabilityZone,
    },
    ...commonSettings(sidecar),
    backend_server: {
      origin: sidecar.backendServerOrigin,
      connections: 64,
      description_interval: "1s",
    },
    runner: { kept_results: "64MiB", queued_tasks: 1_000 },
    owner: { kept_answers: "64MiB" },
  });
}

function commonSettings(
  process: EntrySettingsOptions | SidecarSettingsOptions,
): object {
  const { metricsReceiver, seeds } = process;
  return {
    ...(metricsReceiver === undefined
      ? {}
      : { metrics: { receiver: metricsReceiver } }),
    peers: {
      listen: `127.0.0.1:${process.peers}`,
      shared_key: "local-key",
      ...(seeds.length > 0 ? { seeds: seeds.join(" ") } : {}),
    },
    operators: {
      listen: `127.0.0.1:${process.operators}`,
      token: LOCAL_OPERATORS_TOKEN,
    },
    platform_log: {
      origin: process.logOrigin,
      read_wait: "500ms",
      retention: "24h",
    },
    ownership: { shards: SHARDS, owners: OWNERS },
    timing: {
      heartbeat: "250ms",
      unreachable: "1s",
      lease: "1s",
      removal: "5s",
      horizon: "10min",
    },
  };
}
