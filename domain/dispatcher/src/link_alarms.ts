/**
 * Times at which an entry must act on its links: a request is due or has no reply for too long. The earliest one is
 * kept until a link changes, so that most steps need not look at every link.
 */
import { assertNever, type Milliseconds } from "@eelgrassfront/model";
import {
  LinkPhase,
  type OpenLink,
  type WorkerLinkState,
} from "./worker_link_state.ts";

/** Time without a reply after which a sidecar counts as lost: two unanswered renewals. */
export const REPLY_TIMEOUT_MILLISECONDS: Milliseconds = 450;
/** Interval of renewals: a third of the duration of a session. */
const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 200;
/** Renewals are due at multiples of this time, so that one wake-up of the process sends several. */
const RENEWAL_ALIGNMENT_MILLISECONDS: Milliseconds = 50;

/** The earliest of the times at which links are due. */
export class LinkAlarms {
  /** Undefined while it is unknown, because a link has changed. */
  #earliest: Milliseconds | undefined;
  #linksRevision = 0;
  /** Time before which no sidecar counts as lost, since its replies may not have been read. */
  #readUntil: Milliseconds = 0;

  /** Lets no sidecar count as lost before a time. */
  deferLosses(readUntil: Milliseconds): void {
    this.#readUntil = readUntil;
    this.#earliest = undefined;
  }

  /** Takes note that a link is due at another time. */
  recordChange(): void {
    this.#earliest = undefined;
  }

  /** Records a reply over an open link at the given time. */
  recordReply(state: OpenLink, now: Milliseconds): void {
    const { nextRenewAt } = state;
    const wasEarliest = this.#earliest === undefined ||
      (this.lostAt(state) <= this.#earliest && nextRenewAt > this.#earliest);
    state.lastReplyAt = now;
    state.unansweredSince = undefined;
    if (wasEarliest) this.#earliest = undefined;
  }

  /** Returns the earliest time at which one of the links is due; infinity for none. */
  earliest(
    links: readonly WorkerLinkState[],
    linksRevision: number,
  ): Milliseconds {
    if (this.#earliest === undefined || linksRevision !== this.#linksRevision) {
      this.#linksRevision = linksRevision;
      this.#earliest = links.reduce(
        (earliest, { state }) => Math.min(earliest, this.#dueAt(state)),
        Infinity,
      );
    }
    return this.#earliest;
  }

  /** When a sidecar counts as lost unless it replies. */
  lostAt({ lastReplyAt }: OpenLink): Milliseconds {
    return Math.max(lastReplyAt + REPLY_TIMEOUT_MILLISECONDS, this.#readUntil);
  }

  #dueAt(state: WorkerLinkState["state"]): Milliseconds {
    switch (state.phase) {
      case LinkPhase.Unused:
        return Infinity;
      case LinkPhase.Opening:
        return state.pendingRequest === undefined
          ? state.nextOpenAt
          : state.pendingSince + REPLY_TIMEOUT_MILLISECONDS;
      case LinkPhase.Open:
        return Math.min(state.nextRenewAt, this.lostAt(state));
      default:
        return assertNever(state);
    }
  }
}

/** Returns when the next renewal is due. */
export function nextRenewal(now: Milliseconds): Milliseconds {
  const due = now + RENEWAL_INTERVAL_MILLISECONDS;
  return due - due % RENEWAL_ALIGNMENT_MILLISECONDS;
}
