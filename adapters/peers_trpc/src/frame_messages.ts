/**
 * Calls and responses in the frames of tRPC's WebSocket protocol. They are checked by hand: every message between
 * processes passes here, and a schema costs more than the rest of its decoding. The content of a call is
 * checked by the router, that of a reply by `isReply` of the peers.
 */
import type { PeerResult } from "./peer_router.ts";

/** A call as received. */
export interface ReceivedCall {
  readonly id: number;
  /** Path of the procedure. */
  readonly path: string;
  /** Argument of the procedure; later calls of a connection may leave the identifiers out. */
  readonly input: {
    readonly from?: unknown;
    readonly to?: unknown;
  };
}

/** The result of a call, or the message of its error. */
export type ReceivedResponse =
  | { readonly id: number; readonly result: PeerResult }
  | { readonly id: number; readonly error: string };

/** @throws when a message is not a call */
export function parseCall(message: unknown): ReceivedCall {
  const { id, method, params } = fieldsOf(message);
  const { path, input } = fieldsOf(params);
  const isCall = typeof id === "number" && method === "mutation" &&
    typeof path === "string" && typeof input === "object" && input !== null;
  if (!isCall) throw new Error("a message is not a call");
  return { id, path, input };
}

/** Parses a response; returns undefined when a message is none. */
export function parseResponse(message: unknown): ReceivedResponse | undefined {
  const { id, result, error } = fieldsOf(message);
  if (typeof id !== "number") return undefined;
  const { data } = fieldsOf(result);
  if (isResult(data)) return { id, result: data };
  const { message: detail } = fieldsOf(error);
  return typeof detail === "string" ? { id, error: detail } : undefined;
}

function fieldsOf(value: unknown): Readonly<Record<string, unknown>> {
  const isObject = typeof value === "object" && value !== null;
  return isObject ? value as Readonly<Record<string, unknown>> : {};
}

function isResult(value: unknown): value is PeerResult {
  return typeof value === "object" && value !== null && "kind" in value;
}
