/**
 * What an HTTP server does with a connection.
 */
import type { ClientRejectionReason } from "@eelgrassfront/model";

/** Kinds of decisions on a connection. */
export enum FrontDecisionKind {
  /** The connection is read. */
  Continue = "continue",
  /** The connection is not read until a later decision continues it. */
  Pause = "pause",
  /** The client gets 503 and the connection is closed; nothing of the request is handled. */
  Refuse = "refuse",
  /** The connection is closed without a response. */
  Close = "close",
}

/** A decision on a connection. */
export type FrontDecision =
  | { readonly kind: FrontDecisionKind.Continue }
  | { readonly kind: FrontDecisionKind.Pause }
  | {
    readonly kind: FrontDecisionKind.Refuse;
    readonly reason: ClientRejectionReason;
  }
  | {
    readonly kind: FrontDecisionKind.Close;
    readonly reason: ClientRejectionReason;
  };

/** The connection is read. */
export const CONTINUE: FrontDecision = { kind: FrontDecisionKind.Continue };
/** The connection is not read for now. */
export const PAUSE: FrontDecision = { kind: FrontDecisionKind.Pause };

/** Refuses the request of a connection. */
export function refuse(reason: ClientRejectionReason): FrontDecision {
  return { kind: FrontDecisionKind.Refuse, reason };
}

/** Closes a connection. */
export function close(reason: ClientRejectionReason): FrontDecision {
  return { kind: FrontDecisionKind.Close, reason };
}
