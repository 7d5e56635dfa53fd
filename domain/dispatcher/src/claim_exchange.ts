/**
 * Exchange of claims between entries: this entry's claims for its jobs, and its part as the arbiter and as the
 * holder of jobs that other entries claim.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import {
  type ClaimJob,
  type DispatchOutput,
  type DispatchReply,
  DispatchReplyKind,
  type FleetMember,
  type LocateJob,
  type Milliseconds,
  type OutputCollector,
  type ProcessIdentifier,
  type RequestIdentifier,
  type YieldJob,
} from "@eelgrassfront/model";
import { ArbiterRanking } from "./arbiter_ranking.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import { JobArbiter, type YieldRequest } from "./job_arbiter.ts";
import { type ClaimChange, JobClaims } from "./job_claims.ts";
import type { PeerReference } from "./remote_cancellations.ts";

/** Collaborators of a `ClaimExchange`. */
export interface ClaimExchangeOptions {
  readonly self: FleetMember;
  readonly collector: OutputCollector<DispatchOutput>;
  readonly directory: FleetDirectory;
  /** Ends a job that this entry holds; returns whether no run of it is left. */
  readonly yieldOwn: (request: YieldRequest) => boolean;
  /** Whether runs of an earlier copy of a job may be left, which this entry has placed. */
  readonly hasEarlierRuns: (job: string) => boolean;
}

/** Claims jobs, and answers the claims of other entries. */
export class ClaimExchange {
  readonly #options: ClaimExchangeOptions;
  readonly #ranking: ArbiterRanking;
  readonly #arbiter: JobArbiter;
  readonly #claims: JobClaims;

  constructor(options: ClaimExchangeOptions) {
    this.#options = options;
    this.#ranking = new ArbiterRanking(options);
    this.#arbiter = new JobArbiter(options);
    this.#claims = new JobClaims({
      ...options,
      ranking: this.#ranking,
      arbiter: this.#arbiter,
    });
  }

  /** Claims a job. Returns whether it is granted at once. */
  claim(job: DispatchJob): boolean {
    return this.#claims.claim(job);
  }

  /** Whether a job waits for its grant. */
  isPending(job: DispatchJob): boolean {
    return this.#claims.isPending(job);
  }

  /** Waits for the entry that holds a job. */
  wait(job: DispatchJob): void {
    this.#claims.wait(job);
  }

  /** Drops the claims of a job that has ended. */
  forget(job: DispatchJob): void {
    this.#claims.forget(job);
  }

  /** Leaves the jobs of this entry to other arbiters for some time, since entries have turned to them. */
  handlePause(): void {
    this.#ranking.avoidSelf(this.#options.collector.now);
  }

  /** Decides on the claim of another entry. */
  answerClaim(from: ProcessIdentifier, message: ClaimJob): DispatchReply {
    return this.#arbiter.claim(from, message)
      ? { kind: DispatchReplyKind.JobClaimed }
      : { kind: DispatchReplyKind.JobHeld };
  }

  /** Yields a job to another entry, or keeps it. */
  answerYield({ job, ageMilliseconds }: YieldJob): DispatchReply {
    return this.#options.yieldOwn({ job, ageMilliseconds })
      ? { kind: DispatchReplyKind.JobYielded }
      : { kind: DispatchReplyKind.JobHeld };
  }

  /** Answers which entry holds a job of which this entry is the arbiter. */
  answerLocation({ job }: LocateJob): DispatchReply {
    const holder = this.#arbiter.holderOf(job);
    return holder === undefined
      ? { kind: DispatchReplyKind.JobUnknown }
      : { kind: DispatchReplyKind.JobLocated, holder };
  }

  /** Returns the arbiter of a job; undefined if it is this entry. */
  arbiterOf(job: string): PeerReference | undefined {
    const { self, collector } = this.#options;
    const { available: arbiter } = this.#ranking.rank(job, collector.now);
    return arbiter.address === self.address ? undefined : arbiter;
  }

  /** Returns the holder of a job of which this entry is the arbiter, unless it is this entry. */
  holderOf(job: string): PeerReference | undefined {
    const holder = this.#arbiter.holderOf(job);
    return holder?.process === this.#options.self.process ? undefined : holder;
  }

  /** Returns whether a request was sent from here and has no reply yet. */
  owns(request: RequestIdentifier): boolean {
    return this.#claims.owns(request) || this.#arbiter.owns(request);
  }

  /** Handles the reply to a request that was sent from here. */
  handleReply(
    request: RequestIdentifier,
    message: DispatchReply,
  ): ClaimChange | undefined {
    this.#arbiter.handleReply(request, message);
    return this.#claims.handleReply(request, message);
  }

  /** Handles the loss of a request that was sent from here. */
  handleLostRequest(request: RequestIdentifier): ClaimChange | undefined {
    this.#arbiter.handleLostRequest(request);
    return this.#claims.handleLostRequest(request);
  }

  /** Repeats the claims that are due. */
  tick(): readonly ClaimChange[] {
    return this.#claims.tick();
  }

  /** Returns the time of the next claim or timeout. */
  nextAlarm(): Milliseconds {
    return this.#claims.nextAlarm();
  }
}
