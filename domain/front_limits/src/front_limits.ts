/**
 * Counts what the connections of one listener hold, and decides which of them are read, paused, refused or closed.
 * A connection is unusual while its body arrives slowly, its responses stay unread, it sends no request, or it has
 * many requests in progress; unusual connections are closed first when a total is nearly used up.
 */
import { ClientRejectionReason, type Milliseconds } from "@eelgrassfront/model";
import { FrontConnection } from "./front_connection.ts";
import {
  close,
  CONTINUE,
  type FrontDecision,
  PAUSE,
  refuse,
} from "./front_decision.ts";
import {
  type FrontLimitSettings,
  ORDINARY_SHARE,
} from "./front_limit_settings.ts";

/** A body or response takes an ordinary client a few round trips; above this time it is unusual. */
const USUAL_MILLISECONDS: Milliseconds = 1_000;
/** A connection may hold this much of the reserved part of the bodies; most bodies are smaller. */
const SMALL_BODY_BYTES = 16_384;
/**
 * Parts of bodies that are received in one interval of the sweep before connections with many of them wait for their
 * turn. A part took about 3 microseconds in a trial (6 million in 20 s), so that this is a third of the interval.
 */
const PARTS_PER_INTERVAL = 24_000;
/** The largest body arrives in 64 parts, unless its sender makes them smaller. */
const USUAL_PARTS = 256;
/** Waiting connections that are read again in one interval. */
const TURNS_PER_INTERVAL = 32;
/** A connection may hold this many of the reserved part of the requests. */
const FEW_REQUESTS = 4;

/** A decision on one connection. */
export interface ConnectionDecision {
  readonly connection: FrontConnection;
  readonly decision: FrontDecision;
}

/** A new connection, what happens to it, and the unusual one that is closed for it. */
export interface OpenedConnection extends ConnectionDecision {
  readonly closed?: ConnectionDecision;
}

/** Limits of one listener and what its connections hold. */
export class FrontLimits {
  readonly #limits: FrontLimitSettings;
  readonly #connections = new Set<FrontConnection>();
  readonly #byAddress = new Map<string, number>();
  #bodyBytes = 0;
  #requests = 0;
  #parts = 0;
  /** Connections that wait for their turn to send parts of bodies. */
  readonly #waiting = new Set<FrontConnection>();

  constructor(limits: FrontLimitSettings) {
    this.#limits = limits;
  }

  /** Connections that were accepted and are open. */
  get connections(): ReadonlySet<FrontConnection> {
    return this.#connections;
  }

  /** Bytes of bodies that all connections hold. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Requests in progress and unread responses of all connections. */
  get requests(): number {
    return this.#requests;
  }

  /** Decides on a new connection. A refused one is not counted. */
  open(address: string, now: Milliseconds): OpenedConnection {
    const connection = new FrontConnection(address, now);
    const reason = this.#obstacleOf(address);
    if (reason === undefined) return this.#accept(connection);
    const isMatch = (other: FrontConnection) =>
      reason === ClientRejectionReason.TooManyConnections ||
      other.address === address;
    for (const other of this.#connections) {
      if (!other.isUnusual || !isMatch(other)) continue;
      this.close(other);
      const closed = { connection: other, decision: close(reason) };
      return { ...this.#accept(connection), closed };
    }
    return { connection, decision: refuse(reason) };
  }

  /** A request's header was received. */
  beginRequest(connection: FrontConnection): FrontDecision {
    if (!this.#connections.has(connection)) return CONTINUE;
    connection.requests += 1;
    this.#requests += 1;
    const { requests, requestsPerConnection, requestsBeforePause } =
      this.#limits;
    if (connection.requests > requestsPerConnection) {
      return close(ClientRejectionReason.TooManyRequests);
    }
    if (this.#requests > requests * ORDINARY_SHARE) {
      if (connection.requests > FEW_REQUESTS) {
        return close(ClientRejectionReason.TooManyRequests);
      }
      if (this.#requests > requests) {
        return refuse(ClientRejectionReason.TooManyRequests);
      }
    }
    return connection.requests < requestsBeforePause
      ? CONTINUE
      : pause(connection);
  }

  /** A request's body is going to be received. */
  beginBody(connection: FrontConnection, now: Milliseconds): void {
    connection.bodySince = now;
  }

  /** A part of a request's body was received and is kept. */
  receiveBody(connection: FrontConnection, bytes: number): FrontDecision {
    if (!this.#connections.has(connection)) return CONTINUE;
    connection.bodyBytes += bytes;
    connection.parts += 1;
    this.#bodyBytes += bytes;
    this.#parts += 1;
    if (this.#bodyBytes > this.#limits.bodyBytes) {
      return refuse(ClientRejectionReason.TooManyBodyBytes);
    }
    if (this.#parts > PARTS_PER_INTERVAL && connection.parts > USUAL_PARTS) {
      this.#waiting.add(connection);
      return pause(connection);
    }
    return this.#mayHold(connection) ? CONTINUE : pause(connection);
  }

  /** A body was received entirely. */
  endBody(connection: FrontConnection): void {
    connection.bodySince = undefined;
  }

  /** A body is no longer kept. */
  releaseBody(connection: FrontConnection, bytes: number): FrontDecision {
    if (!this.#connections.has(connection)) return CONTINUE;
    connection.bodyBytes -= bytes;
    this.#bodyBytes -= bytes;
    return this.#reconsider(connection);
  }

  /** The client received the whole response of a request. */
  endRequest(connection: FrontConnection, now: Milliseconds): FrontDecision {
    if (!this.#connections.has(connection)) return CONTINUE;
    connection.requests -= 1;
    connection.unreadSince = undefined;
    connection.idleSince = now;
    this.#requests -= 1;
    return this.#reconsider(connection);
  }

  /** A connection has ended. What it held is free. */
  close(connection: FrontConnection): void {
    if (!this.#connections.delete(connection)) return;
    this.#waiting.delete(connection);
    this.#bodyBytes -= connection.bodyBytes;
    this.#requests -= connection.requests;
    const count = (this.#byAddress.get(connection.address) ?? 1) - 1;
    if (count > 0) this.#byAddress.set(connection.address, count);
    else this.#byAddress.delete(connection.address);
  }

  /**
   * Applies the time limits, closes unusual connections while a total is nearly used up, and continues paused
   * connections. The caller closes the connections that are to be closed.
   */
  sweep(
    now: Milliseconds,
    unreadBytesOf: (connection: FrontConnection) => number,
  ): readonly ConnectionDecision[] {
    const decisions: ConnectionDecision[] = [];
    this.#parts = 0;
    for (const connection of [...this.#waiting].slice(0, TURNS_PER_INTERVAL)) {
      this.#waiting.delete(connection);
    }
    for (const connection of [...this.#connections]) {
      connection.parts = 0;
      const unreadBytes = unreadBytesOf(connection);
      if (unreadBytes > 0) connection.unreadSince ??= now;
      else connection.unreadSince = undefined;
      connection.isUnusual = this.#isUnusual(connection, now);
      const decision = this.#judge(connection, unreadBytes, now);
      if (decision === undefined) continue;
      if (decision !== CONTINUE) this.close(connection);
      decisions.push({ connection, decision });
    }
    return decisions;
  }

  #accept(connection: FrontConnection): ConnectionDecision {
    const { address } = connection;
    this.#connections.add(connection);
    this.#byAddress.set(address, (this.#byAddress.get(address) ?? 0) + 1);
    return { connection, decision: CONTINUE };
  }

  #obstacleOf(address: string): ClientRejectionReason | undefined {
    const { connections, connectionsPerAddress } = this.#limits;
    if (this.#connections.size >= connections) {
      return ClientRejectionReason.TooManyConnections;
    }
    const ofAddress = this.#byAddress.get(address) ?? 0;
    return ofAddress >= connectionsPerAddress
      ? ClientRejectionReason.TooManyConnectionsOfAddress
      : undefined;
  }

  /** Whether the bodies of a connection are within its limit, and within the part of the total that it may use. */
  #mayHold({ bodyBytes, isUnusual }: FrontConnection): boolean {
    if (bodyBytes > this.#limits.bodyBytesPerConnection) return false;
    if (this.#bodyBytes <= this.#limits.bodyBytes * ORDINARY_SHARE) return true;
    return bodyBytes <= SMALL_BODY_BYTES && !isUnusual;
  }

  #reconsider(connection: FrontConnection): FrontDecision {
    if (!connection.isPaused) return CONTINUE;
    if (this.#waiting.has(connection)) return PAUSE;
    const { requestsBeforePause } = this.#limits;
    if (connection.requests >= requestsBeforePause) return PAUSE;
    if (!this.#mayHold(connection)) return PAUSE;
    connection.isPaused = false;
    return CONTINUE;
  }

  #isUnusual(connection: FrontConnection, now: Milliseconds): boolean {
    const { bodySince, unreadSince, idleSince, requests } = connection;
    const isSince = (time: Milliseconds | undefined) =>
      time !== undefined && now - time > USUAL_MILLISECONDS;
    return requests >= this.#limits.requestsBeforePause || isSince(bodySince) ||
      isSince(unreadSince) || requests === 0 && isSince(idleSince);
  }

  /** Returns undefined when nothing changes. */
  #judge(
    connection: FrontConnection,
    unreadBytes: number,
    now: Milliseconds,
  ): FrontDecision | undefined {
    const { bodySince, unreadSince } = connection;
    const limits = this.#limits;
    if (bodySince !== undefined && now - bodySince > limits.bodyMilliseconds) {
      return close(ClientRejectionReason.BodyTooSlow);
    }
    const isUnread = unreadSince !== undefined &&
      now - unreadSince > limits.unreadMilliseconds;
    if (isUnread || unreadBytes > limits.unreadBytesPerConnection) {
      return close(ClientRejectionReason.UnreadResponses);
    }
    if (connection.isUnusual) {
      const reason = this.#shortageOf(connection);
      if (reason !== undefined) return close(reason);
    }
    return connection.isPaused && this.#reconsider(connection) === CONTINUE
      ? CONTINUE
      : undefined;
  }

  /** Returns the total that is nearly used up and to which a connection contributes. */
  #shortageOf(
    { bodyBytes, requests }: FrontConnection,
  ): ClientRejectionReason | undefined {
    const limits = this.#limits;
    if (
      bodyBytes > 0 && this.#bodyBytes > limits.bodyBytes * ORDINARY_SHARE
    ) {
      return ClientRejectionReason.TooManyBodyBytes;
    }
    if (requests > 1 && this.#requests > limits.requests * ORDINARY_SHARE) {
      return ClientRejectionReason.TooManyRequests;
    }
    return undefined;
  }
}

function pause(connection: FrontConnection): FrontDecision {
  connection.isPaused = true;
  return PAUSE;
}
