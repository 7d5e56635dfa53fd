/**
 * Sessions of entries at one sidecar. A session that is not renewed in time expires, and the entry's work
 * here is stopped; the entry gets a new session when no run of the old one is left. A new session therefore
 * proves to the entry that its earlier work has ended, and tasks sent under an old session never start.
 *
 * A renewal that was held up on its way, or waited here to be read, must not extend the session beyond the time
 * that its entry counts on. It therefore carries the sidecar's clock as the entry last received it.
 */
import {
  MAXIMUM_SESSION_MILLISECONDS,
  type Milliseconds,
  type ProcessIdentifier,
  type RenewSession,
  type SessionNumber,
} from "@eelgrassfront/model";

/** Time after which a session that is not renewed expires; entries renew three times within it. */
export const SESSION_MILLISECONDS: Milliseconds = 600;

interface Session {
  readonly number: SessionNumber;
  expiresAt: Milliseconds;
  requestsTaken: number;
}

/** The open sessions, at most one for each entry. */
export class EntrySessions {
  readonly #open = new Map<ProcessIdentifier, Session>();
  #lastNumber: SessionNumber = 0;

  /** Number of open sessions. */
  get size(): number {
    return this.#open.size;
  }

  /** Entries with an open session. */
  entries(): readonly ProcessIdentifier[] {
    return [...this.#open.keys()];
  }

  /** Number of the entry's open session. */
  find(entry: ProcessIdentifier): SessionNumber | undefined {
    return this.#open.get(entry)?.number;
  }

  /** Opens a new session and returns its number. */
  open(now: Milliseconds, entry: ProcessIdentifier): SessionNumber {
    this.#lastNumber += 1;
    const expiresAt = now + SESSION_MILLISECONDS;
    this.#open.set(entry, {
      number: this.#lastNumber,
      expiresAt,
      requestsTaken: 0,
    });
    return this.#lastNumber;
  }

  /** Extends a session; returns false when it is not the open one. */
  renew(
    now: Milliseconds,
    entry: ProcessIdentifier,
    { session: number, knownClock = now }: RenewSession,
  ): boolean {
    const session = this.#open.get(entry);
    if (session?.number !== number) return false;
    const expiresAt = Math.min(
      now + SESSION_MILLISECONDS,
      knownClock + MAXIMUM_SESSION_MILLISECONDS,
    );
    session.expiresAt = Math.max(session.expiresAt, expiresAt);
    return true;
  }

  /** Counts a request to run a task in the entry's open session. */
  countRequest(entry: ProcessIdentifier, number: SessionNumber): void {
    const session = this.#open.get(entry);
    if (session?.number === number) session.requestsTaken += 1;
  }

  /** Number of requests to run tasks that arrived in the entry's open session. */
  requestsTaken(entry: ProcessIdentifier): number {
    return this.#open.get(entry)?.requestsTaken ?? 0;
  }

  /** Ends the session of an entry. */
  end(entry: ProcessIdentifier): void {
    this.#open.delete(entry);
  }

  /** Ends the sessions that have expired and returns their entries. */
  expire(now: Milliseconds): readonly ProcessIdentifier[] {
    const expired = this.entries().filter((entry) =>
      now >= (this.#open.get(entry)?.expiresAt ?? now)
    );
    for (const entry of expired) this.end(entry);
    return expired;
  }

  /** When the next session expires. */
  nextExpiry(): Milliseconds | undefined {
    const times = [...this.#open.values()].map(({ expiresAt }) => expiresAt);
    return times.length === 0 ? undefined : Math.min(...times);
  }
}
