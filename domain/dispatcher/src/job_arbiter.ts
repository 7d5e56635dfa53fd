/**
 * The arbiter of the jobs that entries claim. A client whose request got no answer submits its job again through
 * another entry, while the first one may still run it: the end of the client's connection may reach that entry
 * late or never, and so may the request itself. The arbiter grants a job to one entry at a time. It remembers the
 * latest holder, and asks it whether any run is left once another entry claims the job, so that entries need not
 * report the end of each job.
 *
 * The grants are kept in memory only. A job whose arbiter has ended can be granted twice.
 */
import {
  type ClaimJob,
  Counter,
  type DispatchOutput,
  type DispatchReply,
  DispatchReplyKind,
  DispatchRequestKind,
  EventNumber,
  type FleetMember,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  type RequestIdentifier,
} from "@eelgrassfront/model";
import type { PeerReference } from "./remote_cancellations.ts";
import { RUN_AFTER_SILENCE_MILLISECONDS } from "./ending_runs.ts";

/** A job that an entry asks to yield. */
export interface YieldRequest {
  readonly job: string;
  /** Time since the claiming entry accepted the job. */
  readonly ageMilliseconds: Milliseconds;
}

/** Collaborators of a `JobArbiter`. */
export interface JobArbiterOptions {
  readonly self: FleetMember;
  readonly collector: OutputCollector<DispatchOutput>;
  /** Ends a job that this entry itself holds; returns whether no run of it is left. */
  readonly yieldOwn: (request: YieldRequest) => boolean;
}

/** Longest time between two claims of a waiting entry; after it the silence of the holder counts anew. */
const ASKING_MILLISECONDS: Milliseconds = 500;
/** Longest time for which a grant is kept; the deadlines of jobs come from clients. */
const MAXIMUM_LIFETIME_MILLISECONDS: Milliseconds = 120_000;
/** Interval at which expired grants are removed. */
const SWEEP_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

interface Grant {
  readonly holder: ProcessIdentifier;
  readonly address: string;
  readonly expiresAt: Milliseconds;
  /** The request to yield the job that has no reply yet. */
  pendingYield: RequestIdentifier | undefined;
  /** When the holder was first asked since its latest reply; undefined if it was not. */
  askedAt: Milliseconds | undefined;
  lastAskedAt: Milliseconds;
  isContested: boolean;
}

/** Grants jobs to entries. */
export class JobArbiter {
  readonly #options: JobArbiterOptions;
  readonly #grants = new Map<string, Grant>();
  /** Jobs that a holder was asked to yield, by the request. */
  readonly #yields = new Map<RequestIdentifier, string>();
  #nextSweepAt: Milliseconds = 0;

  constructor(options: JobArbiterOptions) {
    this.#options = options;
  }

  /** Grants a job to an entry. Returns false while another entry holds it. */
  claim(
    claimant: ProcessIdentifier,
    { job, address, ageMilliseconds, lifetimeMilliseconds }: Omit<
      ClaimJob,
      "kind"
    >,
  ): boolean {
    const { now } = this.#options.collector;
    this.#sweep();
    if (!this.#isFreeHere(claimant, { job, ageMilliseconds })) return false;
    const grant = this.#grants.get(job);
    const isHeld = grant !== undefined && grant.holder !== claimant &&
      now < grant.expiresAt &&
      !this.#isYielded(grant, claimant, { job, ageMilliseconds });
    if (isHeld) return false;
    this.#grants.set(job, {
      holder: claimant,
      address,
      expiresAt: now +
        Math.min(lifetimeMilliseconds, MAXIMUM_LIFETIME_MILLISECONDS),
      pendingYield: undefined,
      askedAt: undefined,
      lastAskedAt: now,
      isContested: false,
    });
    return true;
  }

  /** Whether this entry holds no run of a job that another one claims; the next arbiter may have granted it. */
  #isFreeHere(claimant: ProcessIdentifier, request: YieldRequest): boolean {
    const { self, yieldOwn } = this.#options;
    return claimant === self.process || yieldOwn(request);
  }

  /** Returns the entry that a job was granted to last, unless its runs have ended. */
  holderOf(job: string): PeerReference | undefined {
    const grant = this.#grants.get(job);
    if (grant === undefined) return undefined;
    const { holder: process, address, expiresAt } = grant;
    return this.#options.collector.now < expiresAt
      ? { process, address }
      : undefined;
  }

  /** Returns whether a request to yield a job was sent from here and has no reply yet. */
  owns(request: RequestIdentifier): boolean {
    return this.#yields.has(request);
  }

  /**
   * Handles the reply of a holder. Another incarnation of it knows nothing of the runs, which end as those of a
   * silent holder.
   */
  handleReply(request: RequestIdentifier, message: DispatchReply): void {
    const job = this.#takeYield(request);
    const grant = this.#grants.get(job ?? "");
    if (job === undefined || grant === undefined) return;
    if (message.kind === DispatchReplyKind.JobHeld) grant.askedAt = undefined;
    if (message.kind === DispatchReplyKind.JobYielded) this.#grants.delete(job);
  }

  /** Handles the loss of a request to a holder, which the next claim asks again. */
  handleLostRequest(request: RequestIdentifier): void {
    this.#takeYield(request);
  }

  #takeYield(request: RequestIdentifier): string | undefined {
    const job = this.#yields.get(request);
    this.#yields.delete(request);
    const grant = this.#grants.get(job ?? "");
    if (grant?.pendingYield !== request) return undefined;
    grant.pendingYield = undefined;
    return job;
  }

  /**
   * Asks the holder to yield a job, unless it was asked already. Returns whether no run is left there: it has
   * yielded, or has been silent for longer than runs last that it does not renew.
   */
  #isYielded(
    grant: Grant,
    claimant: ProcessIdentifier,
    request: YieldRequest,
  ): boolean {
    this.#recordContest(grant, claimant, request);
    // What this entry itself holds was decided before.
    if (grant.holder === this.#options.self.process) return true;
    const { now } = this.#options.collector;
    if (now - grant.lastAskedAt > ASKING_MILLISECONDS) grant.askedAt = now;
    grant.askedAt ??= now;
    grant.lastAskedAt = now;
    if (now - grant.askedAt >= RUN_AFTER_SILENCE_MILLISECONDS) return true;
    if (grant.pendingYield === undefined) {
      grant.pendingYield = this.#sendYield(grant, request);
    }
    return false;
  }

  #sendYield(
    { holder, address }: Grant,
    request: YieldRequest,
  ): RequestIdentifier {
    const { collector } = this.#options;
    const identifier = collector.nextRequest();
    this.#yields.set(identifier, request.job);
    collector.add({
      kind: OutputKind.SendRequest,
      request: identifier,
      peer: holder,
      address,
      message: { kind: DispatchRequestKind.YieldJob, ...request },
    });
    return identifier;
  }

  #recordContest(
    grant: Grant,
    claimant: ProcessIdentifier,
    { job, ageMilliseconds }: YieldRequest,
  ): void {
    if (grant.isContested) return;
    grant.isContested = true;
    const { collector } = this.#options;
    collector.count(Counter.JobsContested);
    collector.record(
      EventNumber.JobHeldElsewhere,
      "an entry claims a job that another one was granted; the holder is asked to yield it",
      {
        context: {
          job,
          claimant,
          holder: grant.holder,
          ageMilliseconds: Math.round(ageMilliseconds),
        },
      },
    );
  }

  #sweep(): void {
    const { now } = this.#options.collector;
    if (now < this.#nextSweepAt) return;
    this.#nextSweepAt = now + SWEEP_INTERVAL_MILLISECONDS;
    for (const [job, { expiresAt }] of this.#grants) {
      if (now >= expiresAt) this.#grants.delete(job);
    }
  }
}
