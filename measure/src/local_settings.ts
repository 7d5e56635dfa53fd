/**
 * Settings files of a local system.
 */
import { stringify } from "ini";

/** What differs between the entries of a local system. */
export interface LocalEntry {
  readonly name: string;
  readonly availabilityZone: string;
  readonly peers: number;
  readonly callers: number;
  readonly operators: number;
  readonly logOrigin: string;
  /** Addresses that the process asks while the log is away. */
  readonly seeds: readonly string[];
  readonly metricsReceiver: string | undefined;
}

/** What differs between the sidecars of a local system. */
export interface LocalSidecar {
  readonly name: string;
  readonly availabilityZone: string;
  readonly peers: number;
  readonly operators: number;
  readonly backendServerOrigin: string;
  readonly logOrigin: string;
  /** Addresses that the process asks while the log is away. */
  readonly seeds: readonly string[];
  readonly metricsReceiver: string | undefined;
}

/** Operators' token of every process of a local system. */
export const LOCAL_OPERATORS_TOKEN = "local-operators-token";

const SHARDS = 64;
const OWNERS = 3;

/** Settings of an entry. */
export function entrySettings(entry: LocalEntry): string {
  return stringify({
    process: {
      role: "entry",
      name: entry.name,
      availability_zone: entry.availabilityZone,
    },
    ...shared(entry),
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

/** Settings of a sidecar. */
export function sidecarSettings(sidecar: LocalSidecar): string {
  return stringify({
    process: {
      role: "sidecar",
      name: sidecar.name,
      availability_zone: sidecar.availabilityZone,
    },
    ...shared(sidecar),
    backend_server: {
      origin: sidecar.backendServerOrigin,
      connections: 64,
      description_interval: "1s",
    },
    runner: { kept_results: "64MiB", queued_tasks: 1_000 },
    owner: { kept_answers: "64MiB" },
  });
}

function shared(process: LocalEntry | LocalSidecar): object {
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
