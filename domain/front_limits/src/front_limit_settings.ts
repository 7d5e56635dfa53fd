/**
 * Limits of one listener, and their defaults from the memory and the descriptors of a VM.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Limits of one listener. Three quarters of each total are open to all connections, the rest to ordinary ones. */
export interface FrontLimitSettings {
  readonly connections: number;
  readonly connectionsPerAddress: number;
  /** Bytes of all bodies that are kept at a time. */
  readonly bodyBytes: number;
  /** Bytes of bodies that one connection may have kept before it is paused. */
  readonly bodyBytesPerConnection: number;
  /** Requests in progress and unread responses of all connections. */
  readonly requests: number;
  /** Requests in progress and unread responses of a connection at which it is paused. */
  readonly requestsBeforePause: number;
  /** Requests in progress and unread responses above which a connection is closed. */
  readonly requestsPerConnection: number;
  /** Bytes of responses above which a connection that does not read them is closed. */
  readonly unreadBytesPerConnection: number;
  /** Time to receive a header, from its first byte or from the opening of the connection. */
  readonly headerMilliseconds: Milliseconds;
  /** Time to receive a body, from the end of the header. */
  readonly bodyMilliseconds: Milliseconds;
  /** Time within which a client reads a response. */
  readonly unreadMilliseconds: Milliseconds;
}

/** Memory and descriptors of a VM. */
export interface VmCapacity {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** Who connects to a listener. */
export enum Audience {
  /** Client accounts. */
  Clients = "clients",
  /** The probe of a load balancer, the worker on the VM, or a collector of metrics: one caller, small requests. */
  Single = "single",
}

/** Descriptors that are kept for files, the log and the store. */
const FILE_DESCRIPTORS = 200;
/** Share of the memory for bodies, and again for requests in progress: an eighth each leaves the heap its size. */
const MEMORY_SHARE = 1 / 8;
/** Assumed memory of a request in progress with its response; not measured. */
const REQUEST_BYTES = 8_192;
const LARGEST_BODY_BYTES = 262_144;
/** Descriptors for clients; the rest is for the connections of up to 83 other processes and the other listeners. */
const CLIENT_DESCRIPTOR_SHARE = 0.6;
const SINGLE_DESCRIPTOR_SHARE = 0.05;
/** A listener with one caller needs one body at a time; a few more may be left over from broken connections. */
const SINGLE_BODIES = 8;
const SINGLE_REQUESTS = 512;

/** Part of each total that every connection may use. */
export const ORDINARY_SHARE = 0.75;

/** Returns the default limits of a listener. */
export function defaultFrontLimits(
  { memoryBytes, descriptors }: VmCapacity,
  audience: Audience,
): FrontLimitSettings {
  const sockets = Math.max(FILE_DESCRIPTORS, descriptors - FILE_DESCRIPTORS);
  const isSingle = audience === Audience.Single;
  const share = isSingle ? SINGLE_DESCRIPTOR_SHARE : CLIENT_DESCRIPTOR_SHARE;
  const connections = Math.floor(sockets * share);
  const memory = memoryBytes * MEMORY_SHARE;
  return {
    connections,
    // Clients may all come from the address of one balancer.
    connectionsPerAddress: Math.floor(connections * ORDINARY_SHARE),
    bodyBytes: isSingle
      ? SINGLE_BODIES * LARGEST_BODY_BYTES
      : Math.max(SINGLE_BODIES * LARGEST_BODY_BYTES, Math.floor(memory)),
    bodyBytesPerConnection: 2 * LARGEST_BODY_BYTES,
    requests: isSingle ? SINGLE_REQUESTS : Math.floor(memory / REQUEST_BYTES),
    requestsBeforePause: isSingle ? 16 : 64,
    requestsPerConnection: isSingle ? 64 : 1_024,
    unreadBytesPerConnection: 4 * LARGEST_BODY_BYTES,
    headerMilliseconds: 10_000,
    bodyMilliseconds: 15_000,
    unreadMilliseconds: 10_000,
  };
}
