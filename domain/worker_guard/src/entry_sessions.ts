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

/** Interval of renewals, with some delay; after it the entry has missed one. */
const RENEWAL_OVERDUE_MILLISECONDS: Milliseconds = 250;

const NO_ENTRIES: readonly ProcessIdentifier[] = [];

/** The earliest expiry of the open sessions for one `readUntil`. */
interface EarliestExpiry {
  readonly readUntil: Milliseconds;
  readonly at: Milliseconds;
}

interface Session {
  readonly number: SessionNumber;
  renewedAt: Milliseconds;
  expiresAt: Milliseconds;
  /** When the session ends for its entry, however long the renewals wait to be read. */
  endsAt: Milliseconds;
  requestsTaken: number;
  /** Whether the entry has sent evacuated zones. */
  knowsEvacuations: boolean;
}

/** The open sessions, at most one for each entry. */
export class EntrySessions {
  readonly #open = new Map<ProcessIdentifier, Session>();
  #lastNumber: SessionNumber = 0;
  /** Undefined since a session was opened, renewed or ended. */
  #earliestExpiry: EarliestExpiry | undefined;

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
    this.#earliestExpiry = undefined;
    this.#open.set(entry, {
      number: this.#lastNumber,
      renewedAt: now,
      expiresAt,
      endsAt: now + MAXIMUM_SESSION_MILLISECONDS,
      requestsTaken: 0,
      knowsEvacuations: false,
    });
    return this.#lastNumber;
  }

  /** Extends a session; returns false when it is not the open one. */
  renew(
    now: Milliseconds,
    entry: ProcessIdentifier,
    { session: number, knownClock = now, evacuations }: RenewSession,
  ): boolean {
    const session = this.#open.get(entry);
    if (session?.number !== number) return false;
    this.#earliestExpiry = undefined;
    const endsAt = knownClock + MAXIMUM_SESSION_MILLISECONDS;
    const expiresAt = Math.min(now + SESSION_MILLISECONDS, endsAt);
    session.endsAt = Math.max(session.endsAt, endsAt);
    session.expiresAt = Math.max(session.expiresAt, expiresAt);
    session.renewedAt = now;
    session.knowsEvacuations ||= evacuations !== undefined;
    return true;
  }

  /** Whether an entry has missed a renewal of its open session. */
  isRenewalOverdue(now: Milliseconds, entry: ProcessIdentifier): boolean {
    const session = this.#open.get(entry);
    return session !== undefined &&
      now >= session.renewedAt + RENEWAL_OVERDUE_MILLISECONDS;
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

  /** Whether an entry has sent evacuated zones in its open session; one of an earlier version never does. */
  knowsEvacuations(entry: ProcessIdentifier): boolean {
    return this.#open.get(entry)?.knowsEvacuations === true;
  }

  /** Ends the session of an entry. */
  end(entry: ProcessIdentifier): void {
    this.#earliestExpiry = undefined;
    this.#open.delete(entry);
  }

  /**
   * Ends the sessions that have expired and returns their entries. Before `readUntil` renewals may wait to be read,
   * so that only those sessions end which no renewal can extend any more for their entry.
   */
  expire(
    now: Milliseconds,
    readUntil: Milliseconds,
  ): readonly ProcessIdentifier[] {
    if (now < this.nextExpiry(readUntil)) return NO_ENTRIES;
    const expired = [...this.#open].flatMap(([entry, session]) =>
      now >= expiryOf(session, readUntil) ? [entry] : []
    );
    for (const entry of expired) this.end(entry);
    return expired;
  }

  /** When the next session expires. */
  nextExpiry(readUntil: Milliseconds): Milliseconds {
    if (this.#earliestExpiry?.readUntil !== readUntil) {
      let at = Infinity;
      for (const session of this.#open.values()) {
        at = Math.min(at, expiryOf(session, readUntil));
      }
      this.#earliestExpiry = { readUntil, at };
    }
    return this.#earliestExpiry.at;
  }
}

function expiryOf(
  { expiresAt, endsAt }: Session,
  readUntil: Milliseconds,
): Milliseconds {
  return Math.min(endsAt, Math.max(expiresAt, readUntil));
}
