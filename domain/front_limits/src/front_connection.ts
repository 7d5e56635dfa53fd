/**
 * What one connection holds at present. Only `FrontLimits` changes it.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** A connection of a client. */
export class FrontConnection {
  readonly address: string;
  /** Requests whose responses the client has not received entirely. */
  requests = 0;
  /** Bytes of bodies that are kept, complete or not. */
  bodyBytes = 0;
  /** Parts of bodies that were received since the last sweep. */
  parts = 0;
  /** When the body that is being received began. */
  bodySince: Milliseconds | undefined;
  /** When the client last received a whole response, or began to leave one unread. */
  unreadSince: Milliseconds | undefined;
  /** When the connection was opened, or its last response was received. */
  idleSince: Milliseconds;
  isPaused = false;
  /** Whether the client is slower or asks for more at once than ordinary clients do. */
  isUnusual = false;

  constructor(address: string, now: Milliseconds) {
    this.address = address;
    this.idleSince = now;
  }
}
