/**
 * Claims of an entry for the jobs that it accepts. No task of a job is placed before the job's arbiter has granted
 * it, so that a job which clients submit through several entries runs at one of them at a time.
 *
 * An arbiter that does not answer is replaced by the next one, and a job is run without a grant if that one does
 * not answer either: two entries may then run it at the same time, but no job waits for an entry that is gone.
 */
import {
  assertNever,
  ClaimFailureReason,
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
  PeerReplyKind,
  type RequestIdentifier,
  Severity,
} from "@eelgrassfront/model";
import type { ArbiterRanking } from "./arbiter_ranking.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import { RUN_AFTER_SILENCE_MILLISECONDS } from "./ending_runs.ts";
import type { JobArbiter } from "./job_arbiter.ts";

/** Time without a reply after which the next arbiter is asked: shorter than the slack of any job. */
const REPLY_TIMEOUT_MILLISECONDS: Milliseconds = 50;
/** Interval at which a job that another entry holds is claimed again. */
const RETRY_INTERVAL_MILLISECONDS: Milliseconds = 50;
/** Number of arbiters that are asked before a job is run without a grant. */
const MAXIMUM_ARBITERS = 2;
/** Phases of a claim. */
enum ClaimPhase {
  /** The arbiter has not replied yet. */
  Sent = "sent",
  /** Another entry holds the job; the claim is repeated. */
  Waiting = "waiting",
}

interface SentClaim {
  readonly phase: ClaimPhase.Sent;
  readonly arbiter: FleetMember;
  readonly request: RequestIdentifier;
  readonly dueAt: Milliseconds;
}

interface WaitingClaim {
  readonly phase: ClaimPhase.Waiting;
  readonly dueAt: Milliseconds;
}

interface PendingClaim {
  readonly job: DispatchJob;
  readonly failures: number;
  readonly state: SentClaim | WaitingClaim;
}

/** Collaborators of `JobClaims`. */
export interface JobClaimsOptions {
  readonly self: FleetMember;
  readonly collector: OutputCollector<DispatchOutput>;
  readonly ranking: ArbiterRanking;
  /** The arbiter for the jobs that rank this entry highest. */
  readonly arbiter: JobArbiter;
  /** Whether runs of an earlier copy of a job may be left, which this entry has placed. */
  readonly hasEarlierRuns: (job: string) => boolean;
}

/** Claims jobs until they are granted or removed. */
export class JobClaims {
  readonly #options: JobClaimsOptions;
  readonly #pending = new Map<DispatchJob, PendingClaim>();
  readonly #byRequest = new Map<RequestIdentifier, PendingClaim>();

  constructor(options: JobClaimsOptions) {
    this.#options = options;
  }

  /** Claims a job. Returns whether it is granted at once. */
  claim(job: DispatchJob): boolean {
    return this.#attempt(job, 0);
  }

  /** Drops the claim of a job that has ended. */
  forget(job: DispatchJob): void {
    const claim = this.#pending.get(job);
    if (claim === undefined) return;
    this.#pending.delete(job);
    this.#forgetRequest(claim);
  }

  /** Returns whether a claim was sent with a request and has no reply yet. */
  owns(request: RequestIdentifier): boolean {
    return this.#byRequest.has(request);
  }

  /** Handles the reply of an arbiter. Returns the job that is granted. */
  handleReply(
    request: RequestIdentifier,
    message: DispatchReply,
  ): DispatchJob | undefined {
    const claim = this.#byRequest.get(request);
    if (claim?.state.phase !== ClaimPhase.Sent) return undefined;
    const { arbiter } = claim.state;
    switch (message.kind) {
      case DispatchReplyKind.JobClaimed:
        this.#options.ranking.recordAnswer(arbiter.address);
        this.forget(claim.job);
        return claim.job;
      case DispatchReplyKind.JobHeld:
        this.#options.ranking.recordAnswer(arbiter.address);
        this.#wait(claim.job);
        return undefined;
      case DispatchReplyKind.Misdirected:
      case PeerReplyKind.IncarnationMismatch:
      case DispatchReplyKind.JobYielded:
      case DispatchReplyKind.JobLocated:
      case DispatchReplyKind.JobCancelled:
      case DispatchReplyKind.JobUnknown:
      case DispatchReplyKind.SessionGranted:
      case DispatchReplyKind.SessionRenewed:
      case DispatchReplyKind.SessionPending:
      case DispatchReplyKind.TaskSettled:
      case DispatchReplyKind.CancellationAcknowledged:
      case DispatchReplyKind.LoadReported:
      case DispatchReplyKind.FleetStateExchanged:
      case DispatchReplyKind.CrashNoted:
        return this.#handleFailure(
          claim,
          arbiter,
          ClaimFailureReason.NoArbiter,
        );
      default:
        return assertNever(message);
    }
  }

  /** Handles the loss of a claim. Returns the job that is granted. */
  handleLostRequest(request: RequestIdentifier): DispatchJob | undefined {
    const claim = this.#byRequest.get(request);
    if (claim?.state.phase !== ClaimPhase.Sent) return undefined;
    return this.#handleFailure(
      claim,
      claim.state.arbiter,
      ClaimFailureReason.RequestLost,
    );
  }

  /** Repeats the claims that are due. Returns the jobs that are granted. */
  tick(): readonly DispatchJob[] {
    const { now } = this.#options.collector;
    const granted: DispatchJob[] = [];
    for (const claim of [...this.#pending.values()]) {
      const { job, state } = claim;
      if (now < state.dueAt) continue;
      const isGranted = state.phase === ClaimPhase.Waiting
        ? this.#attempt(job, 0)
        : this.#handleFailure(
          claim,
          state.arbiter,
          ClaimFailureReason.TimedOut,
        ) !== undefined;
      if (isGranted) granted.push(job);
    }
    return granted;
  }

  /** Returns the time of the next claim or timeout. */
  nextAlarm(): Milliseconds {
    let next = Infinity;
    for (const { state } of this.#pending.values()) {
      next = Math.min(next, state.dueAt);
    }
    return next;
  }

  #attempt(job: DispatchJob, failures: number): boolean {
    const { self, collector, ranking, arbiter, hasEarlierRuns } = this.#options;
    if (hasEarlierRuns(job.id)) return this.#wait(job);
    const chosen = ranking.arbiterOf(job.id, collector.now);
    const claim = this.#claimOf(job);
    if (chosen.address !== self.address) {
      this.#send(job, failures, chosen, claim);
      return false;
    }
    if (!arbiter.claim(self.process, claim)) return this.#wait(job);
    this.forget(job);
    return true;
  }

  #claimOf(job: DispatchJob): Omit<ClaimJob, "kind"> {
    const { self, collector: { now } } = this.#options;
    return {
      job: job.id,
      address: self.address,
      ageMilliseconds: now - job.arrivedAt,
      lifetimeMilliseconds: job.deadlineAt - now +
        RUN_AFTER_SILENCE_MILLISECONDS,
    };
  }

  #send(
    job: DispatchJob,
    failures: number,
    arbiter: FleetMember,
    claim: Omit<ClaimJob, "kind">,
  ): void {
    const { collector } = this.#options;
    this.forget(job);
    const request = collector.nextRequest();
    const pending: PendingClaim = {
      job,
      failures,
      state: {
        phase: ClaimPhase.Sent,
        arbiter,
        request,
        dueAt: collector.now + REPLY_TIMEOUT_MILLISECONDS,
      },
    };
    this.#pending.set(job, pending);
    this.#byRequest.set(request, pending);
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: arbiter.process,
      address: arbiter.address,
      message: { kind: DispatchRequestKind.ClaimJob, ...claim },
    });
  }

  /** Waits for the entry that holds a job, which may have started it; a refusal would then be false. */
  #wait(job: DispatchJob): false {
    this.forget(job);
    job.mayHaveStarted = true;
    const dueAt = this.#options.collector.now + RETRY_INTERVAL_MILLISECONDS;
    const state: WaitingClaim = { phase: ClaimPhase.Waiting, dueAt };
    this.#pending.set(job, { job, failures: 0, state });
    return false;
  }

  /** Asks the next arbiter in place of one that failed. Returns the job if it is granted. */
  #handleFailure(
    { job, failures }: PendingClaim,
    arbiter: FleetMember,
    reason: ClaimFailureReason,
  ): DispatchJob | undefined {
    const { collector, ranking } = this.#options;
    ranking.recordFailure(arbiter.address, collector.now);
    collector.count(Counter.ClaimsUnanswered, reason);
    const isLast = failures + 1 >= MAXIMUM_ARBITERS;
    collector.record(
      EventNumber.ClaimUnanswered,
      "an arbiter did not answer the claim of a job",
      {
        severity: Severity.Warning,
        context: {
          job: job.id,
          arbiter: arbiter.process,
          reason,
          isRunWithoutGrant: isLast,
        },
      },
    );
    if (isLast) {
      this.forget(job);
      return job;
    }
    return this.#attempt(job, failures + 1) ? job : undefined;
  }

  #forgetRequest({ state }: PendingClaim): void {
    if (state.phase === ClaimPhase.Sent) this.#byRequest.delete(state.request);
  }
}
