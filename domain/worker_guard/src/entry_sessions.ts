/**
 * Sessions of entries at one sidecar. An entry that is silent for the session's time loses it, and with
 * it all its work here; it gets a new one when nothing of the old one runs. So an entry that hears of a
 * new session knows that its earlier work has ended, and work sent under an old one is never started.
 */
import type {
  Milliseconds,
  ProcessIdentifier,
  SessionNumber,
} from "@eelgrassfront/model";

/** Time after which a silent entry loses its session; an entry renews three times in it. */
export const SESSION_MILLISECONDS: Milliseconds = 600;

interface Session {
  readonly number: SessionNumber;
  expiresAt: Milliseconds;
  requestsTaken: number;
}

/** The open sessions. */
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

  /** The open session of an entry. */
  of(entry: ProcessIdentifier): SessionNumber | undefined {
    return this.#open.get(entry)?.number;
  }

  /** Opens a new session. */
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

  /** Prolongs a session; false when it is not the open one. */
  renew(
    now: Milliseconds,
    entry: ProcessIdentifier,
    number: SessionNumber,
  ): boolean {
    const session = this.#open.get(entry);
    if (session?.number !== number) return false;
    session.expiresAt = now + SESSION_MILLISECONDS;
    return true;
  }

  /** Counts a request to run a task. */
  countRequest(entry: ProcessIdentifier, number: SessionNumber): void {
    const session = this.#open.get(entry);
    if (session?.number === number) session.requestsTaken += 1;
  }

  /** Requests to run tasks that came in the open session. */
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
