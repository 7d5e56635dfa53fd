/**
 * Choice of the arbiter of a job: the entry that ranks highest by rendezvous hashing among those that have
 * answered lately, so that all entries choose the same one while they know the same members.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import {
  type FleetMember,
  type Milliseconds,
  processName,
  Role,
} from "@eelgrassfront/model";
import { combineHashes, stableHash } from "@eelgrassfront/ownership";

/** First time for which an entry that did not answer is not chosen; it doubles with each further failure. */
const FIRST_AVOIDANCE_MILLISECONDS: Milliseconds = 500;
/** Longest such time; an entry that was removed for good stays a member. */
const MAXIMUM_AVOIDANCE_MILLISECONDS: Milliseconds = 16_000;

interface RankedEntry {
  readonly member: FleetMember;
  readonly hash: number;
}

interface Avoidance {
  readonly until: Milliseconds;
  readonly duration: Milliseconds;
  /** Whether the entry is chosen again; the next failure still doubles the time. */
  hasEnded: boolean;
}

/** The members among which an arbiter is chosen. */
export interface ArbiterRankingOptions {
  readonly self: FleetMember;
  readonly directory: FleetDirectory;
}

/** The arbiters of a job. */
export interface ArbiterRank {
  /** The arbiter that all entries choose which know the same members. */
  readonly first: FleetMember;
  /** The highest-ranked one that has answered lately. */
  readonly available: FleetMember;
}

/** Ranks the entries for each job. */
export class ArbiterRanking {
  readonly #options: ArbiterRankingOptions;
  readonly #avoided = new Map<string, Avoidance>();
  #entries: readonly RankedEntry[] = [];
  #membersRevision = -1;
  #revision = 0;

  constructor(options: ArbiterRankingOptions) {
    this.#options = options;
  }

  /** Returns a number that rises whenever other arbiters may be chosen than before. */
  revision(now: Milliseconds): number {
    this.#update(now);
    return this.#revision;
  }

  /** Returns the arbiter of a job, and the one that is asked while that does not answer. */
  rank(job: string, now: Milliseconds): ArbiterRank {
    this.#update(now);
    const { self } = this.#options;
    const jobHash = stableHash(job);
    let first = self;
    let firstRank = -1;
    let available = self;
    let availableRank = -1;
    for (const { member, hash } of this.#entries) {
      const rank = combineHashes(hash, jobHash);
      if (rank > firstRank) {
        first = member;
        firstRank = rank;
      }
      if (rank <= availableRank || this.#isAvoided(member)) continue;
      available = member;
      availableRank = rank;
    }
    return { first, available };
  }

  #isAvoided({ address }: FleetMember): boolean {
    return this.#avoided.get(address)?.hasEnded === false;
  }

  /** Records that an entry answered. */
  recordAnswer(address: string): void {
    if (this.#avoided.get(address)?.hasEnded === false) this.#revision += 1;
    this.#avoided.delete(address);
  }

  /**
   * Records that an entry did not answer; it is not chosen for some time. Requests that fail together count as one
   * failure.
   */
  recordFailure(address: string, now: Milliseconds): void {
    const known = this.#avoided.get(address);
    if (known !== undefined && now < known.until) return;
    const duration = known === undefined
      ? FIRST_AVOIDANCE_MILLISECONDS
      : Math.min(MAXIMUM_AVOIDANCE_MILLISECONDS, 2 * known.duration);
    this.#avoided.set(address, {
      until: now + duration,
      duration,
      hasEnded: false,
    });
    this.#revision += 1;
  }

  /** Leaves the part of this entry to others for a short time. */
  avoidSelf(now: Milliseconds): void {
    const { address } = this.#options.self;
    this.#avoided.delete(address);
    this.recordFailure(address, now);
  }

  #update(now: Milliseconds): void {
    for (const avoidance of this.#avoided.values()) {
      if (avoidance.hasEnded || now < avoidance.until) continue;
      avoidance.hasEnded = true;
      this.#revision += 1;
    }
    const { self, directory } = this.#options;
    if (this.#membersRevision === directory.membersRevision) return;
    this.#membersRevision = directory.membersRevision;
    this.#revision += 1;
    const others = directory.membersOf(Role.Entry)
      .filter(({ process }) =>
        processName(process) !== processName(self.process)
      );
    this.#entries = [self, ...others].map((member) => ({
      member,
      hash: stableHash(processName(member.process)),
    }));
  }
}
