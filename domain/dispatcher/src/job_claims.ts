/**
 * Claims of an entry for the jobs that it accepts. No task of a job is placed before the job's arbiter has granted
 * it, so that a job which clients submit through several entries runs at one of them at a time.
 *
 * An arbiter that does not answer is replaced by the next one, and a job is run without a grant if that one does
 * not answer either, so that no job waits for an entry that is gone. The first arbiter gets the claim all the same:
 * if it is only slow, it knows the holder when another entry asks, and its late answer still stops the job here.
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
  type ProcessIdentifier,
  type RequestIdentifier,
  Severity,
} from "@eelgrassfront/model";
import type { ArbiterRanking } from "./arbiter_ranking.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import { RUN_AFTER_SILENCE_MILLISECONDS } from "./ending_runs.ts";
import type { JobArbiter } from "./job_arbiter.ts";

/** Time without a reply after which the next arbiter is asked. */
const REPLY_TIMEOUT_MILLISECONDS: Milliseconds = 100;
/** Interval at which a job that another entry holds is claimed again. */
const RETRY_INTERVAL_MILLISECONDS: Milliseconds = 50;
/** Interval at which a running job is claimed again: twice before its client may submit it again. */
const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 500;
/** Delay of a timer after which replies may be waiting to be read. */
const LATE_ALARM_MILLISECONDS: Milliseconds = 15;
/** Time in which the replies that arrived during a stall of this process are read. */
const READ_MILLISECONDS: Milliseconds = 20;
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
  /** The request whose reply decides. */
  readonly request: RequestIdentifier;
  readonly dueAt: Milliseconds;
  /** Whether the timeout was put off once, because it was noticed late. */
  readonly isDeferred: boolean;
}

interface WaitingClaim {
  readonly phase: ClaimPhase.Waiting;
  readonly dueAt: Milliseconds;
}

interface PendingClaim {
  readonly failures: number;
  readonly state: SentClaim | WaitingClaim;
}

/** A claim that was sent to an arbiter, whether its reply decides or not. */
interface SentRequest {
  readonly job: DispatchJob;
  readonly arbiter: FleetMember;
}

/** The arbiter that knows that a job runs here. */
interface Registration {
  readonly arbiter: ProcessIdentifier;
  readonly renewAt: Milliseconds;
}

/** An answer that another entry holds a job. */
interface HeldAnswer {
  readonly arbiter: ProcessIdentifier;
  readonly at: Milliseconds;
}

/** What the reply of an arbiter changes. */
export enum ClaimChangeKind {
  /** The job is granted to this entry. */
  Granted = "granted",
  /** A job that this entry runs is held by another one, as an arbiter has answered late. */
  Contested = "contested",
}

/** A change of one job. */
export interface ClaimChange {
  readonly kind: ClaimChangeKind;
  readonly job: DispatchJob;
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
  readonly #requests = new Map<RequestIdentifier, SentRequest>();
  /** Jobs that run here. */
  readonly #granted = new Map<DispatchJob, Registration>();
  /** The latest answers that another entry holds a job. */
  readonly #held = new Map<DispatchJob, HeldAnswer>();
  #rankingRevision = 0;
  /** Time of the next claim or timeout; undefined since a claim has changed. */
  #nextAlarm: Milliseconds | undefined;

  constructor(options: JobClaimsOptions) {
    this.#options = options;
  }

  /** Claims a job. Returns whether it is granted at once. */
  claim(job: DispatchJob): boolean {
    return this.#attempt(job, 0);
  }

  /** Whether a job waits for its grant. */
  isPending(job: DispatchJob): boolean {
    return this.#pending.has(job);
  }

  /** Drops the claims of a job that has ended. */
  forget(job: DispatchJob): void {
    this.#nextAlarm = undefined;
    this.#pending.delete(job);
    this.#granted.delete(job);
    this.#held.delete(job);
    for (const [request, sent] of this.#requests) {
      if (sent.job === job) this.#requests.delete(request);
    }
  }

  /** Waits for the entry that holds a job, which may have started it; a refusal would then be false. */
  wait(job: DispatchJob): void {
    job.mayHaveStarted = true;
    const { now } = this.#options.collector;
    const dueAt = now + RETRY_INTERVAL_MILLISECONDS;
    const state: WaitingClaim = { phase: ClaimPhase.Waiting, dueAt };
    this.#nextAlarm = undefined;
    this.#granted.delete(job);
    this.#pending.set(job, { failures: 0, state });
  }

  /** Returns whether a claim was sent with a request and has no reply yet. */
  owns(request: RequestIdentifier): boolean {
    return this.#requests.has(request);
  }

  /** Handles the reply of an arbiter. */
  handleReply(
    request: RequestIdentifier,
    message: DispatchReply,
  ): ClaimChange | undefined {
    const sent = this.#requests.get(request);
    if (sent === undefined) return undefined;
    switch (message.kind) {
      case DispatchReplyKind.JobClaimed:
        this.#options.ranking.recordAnswer(sent.arbiter.address);
        return this.#handleGrant(request, sent);
      case DispatchReplyKind.JobHeld:
        this.#options.ranking.recordAnswer(sent.arbiter.address);
        return this.#handleHeld(request, sent);
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
        return this.#handleFailure(request, ClaimFailureReason.NoArbiter);
      default:
        return assertNever(message);
    }
  }

  /** Handles the loss of a claim. */
  handleLostRequest(request: RequestIdentifier): ClaimChange | undefined {
    return this.#handleFailure(request, ClaimFailureReason.RequestLost);
  }

  /** Repeats the claims that are due, and those of the jobs that run here. */
  tick(): readonly ClaimChange[] {
    const { collector: { now }, ranking } = this.#options;
    const changes: ClaimChange[] = [];
    const isIdle = now < this.nextAlarm() &&
      ranking.revision(now) === this.#rankingRevision;
    if (isIdle) return changes;
    for (const [job, claim] of [...this.#pending]) {
      const { state, failures } = claim;
      if (now < state.dueAt || this.#isDeferred(job, claim)) continue;
      const isGranted = state.phase === ClaimPhase.Waiting
        ? this.#attempt(job, 0)
        : this.#handleTimeout(job, state.request, failures);
      if (isGranted) changes.push({ kind: ClaimChangeKind.Granted, job });
    }
    return [...changes, ...this.#renewGrants()];
  }

  /**
   * Gives the replies that arrived during a stall of this process the time to be read, since timers run before reads.
   * Returns whether the timeout of a claim is deferred for that.
   */
  #isDeferred(job: DispatchJob, claim: PendingClaim): boolean {
    const { now } = this.#options.collector;
    const { state, failures } = claim;
    if (state.phase !== ClaimPhase.Sent || state.isDeferred) return false;
    if (now - state.dueAt < LATE_ALARM_MILLISECONDS) return false;
    const dueAt = now + READ_MILLISECONDS;
    this.#nextAlarm = undefined;
    this.#pending.set(job, {
      failures,
      state: { ...state, dueAt, isDeferred: true },
    });
    return true;
  }

  /**
   * Tells arbiters which jobs run here: those that are asked from now on, and from time to time each one, since it may
   * have ended.
   */
  #renewGrants(): readonly ClaimChange[] {
    const { self, collector, ranking, arbiter } = this.#options;
    const { now } = collector;
    const revision = ranking.revision(now);
    const hasChanged = revision !== this.#rankingRevision;
    this.#rankingRevision = revision;
    const changes: ClaimChange[] = [];
    for (const [job, known] of this.#granted) {
      if (!hasChanged && now < known.renewAt) continue;
      const { available } = ranking.rank(job.id, now);
      const isKnown = available.process === known.arbiter;
      if (isKnown && now < known.renewAt) continue;
      this.#recordGrant(job, available.process);
      const claim = this.#claimOf(job);
      if (available.address !== self.address) this.#send(job, available, claim);
      else if (!arbiter.claim(self.process, claim)) {
        changes.push({ kind: ClaimChangeKind.Contested, job });
      }
    }
    return changes;
  }

  /** Returns the time of the next claim or timeout. */
  nextAlarm(): Milliseconds {
    if (this.#nextAlarm !== undefined) return this.#nextAlarm;
    let next = Infinity;
    for (const { state } of this.#pending.values()) {
      next = Math.min(next, state.dueAt);
    }
    for (const { renewAt } of this.#granted.values()) {
      next = Math.min(next, renewAt);
    }
    this.#nextAlarm = next;
    return next;
  }

  #handleGrant(
    request: RequestIdentifier,
    { job, arbiter }: SentRequest,
  ): ClaimChange | undefined {
    this.#requests.delete(request);
    const isDecisive = this.#isDecisive(job, request);
    return isDecisive && this.#acceptGrant(job, arbiter.process)
      ? { kind: ClaimChangeKind.Granted, job }
      : undefined;
  }

  #handleHeld(
    request: RequestIdentifier,
    { job, arbiter }: SentRequest,
  ): ClaimChange | undefined {
    this.#requests.delete(request);
    this.#held.set(job, {
      arbiter: arbiter.process,
      at: this.#options.collector.now,
    });
    if (!this.isPending(job)) return { kind: ClaimChangeKind.Contested, job };
    this.wait(job);
    return undefined;
  }

  #handleFailure(
    request: RequestIdentifier,
    reason: ClaimFailureReason,
  ): ClaimChange | undefined {
    const sent = this.#requests.get(request);
    this.#requests.delete(request);
    if (sent === undefined) return undefined;
    const { job, arbiter } = sent;
    const failures = this.#pending.get(job)?.failures ?? 0;
    const isDecisive = this.#isDecisive(job, request);
    this.#recordFailure(job, arbiter, reason);
    return isDecisive && this.#attemptNext(job, failures)
      ? { kind: ClaimChangeKind.Granted, job }
      : undefined;
  }

  /** Asks the next arbiter; the reply of the slow one is still read. */
  #handleTimeout(
    job: DispatchJob,
    request: RequestIdentifier,
    failures: number,
  ): boolean {
    const arbiter = this.#requests.get(request)?.arbiter;
    if (arbiter !== undefined) {
      this.#recordFailure(job, arbiter, ClaimFailureReason.TimedOut);
    }
    return this.#attemptNext(job, failures);
  }

  #isDecisive(job: DispatchJob, request: RequestIdentifier): boolean {
    const state = this.#pending.get(job)?.state;
    return state?.phase === ClaimPhase.Sent && state.request === request;
  }

  #attemptNext(job: DispatchJob, failures: number): boolean {
    if (failures + 1 < MAXIMUM_ARBITERS) {
      return this.#attempt(job, failures + 1);
    }
    return this.#acceptGrant(job, this.#options.self.process);
  }

  /**
   * Accepts a grant, unless another arbiter answered lately that another entry holds the job: the one that grants it
   * may not know.
   */
  #acceptGrant(job: DispatchJob, arbiter: ProcessIdentifier): boolean {
    const held = this.#held.get(job);
    const isRefuted = held !== undefined && held.arbiter !== arbiter &&
      this.#options.collector.now - held.at < RUN_AFTER_SILENCE_MILLISECONDS;
    if (isRefuted) this.wait(job);
    else this.#recordGrant(job, arbiter);
    return !isRefuted;
  }

  #recordGrant(job: DispatchJob, arbiter: ProcessIdentifier): void {
    this.#nextAlarm = undefined;
    this.#pending.delete(job);
    this.#held.delete(job);
    const renewAt = this.#options.collector.now +
      RENEWAL_INTERVAL_MILLISECONDS;
    this.#granted.set(job, { arbiter, renewAt });
  }

  #attempt(job: DispatchJob, failures: number): boolean {
    const { self, collector, ranking, arbiter, hasEarlierRuns } = this.#options;
    if (hasEarlierRuns(job.id)) {
      this.wait(job);
      return false;
    }
    const { first, available } = ranking.rank(job.id, collector.now);
    const claim = this.#claimOf(job);
    const isOwn = first.address === self.address ||
      available.address === self.address;
    if (isOwn && !arbiter.claim(self.process, claim)) {
      this.wait(job);
      return false;
    }
    const isFirstSilent = first.address !== available.address &&
      first.address !== self.address && failures === 0;
    if (isFirstSilent) this.#send(job, first, claim);
    if (available.address === self.address) {
      return this.#acceptGrant(job, self.process);
    }
    const request = this.#send(job, available, claim);
    const dueAt = collector.now + REPLY_TIMEOUT_MILLISECONDS;
    const state: SentClaim = {
      phase: ClaimPhase.Sent,
      request,
      dueAt,
      isDeferred: false,
    };
    this.#nextAlarm = undefined;
    this.#granted.delete(job);
    this.#pending.set(job, { failures, state });
    return false;
  }

  #claimOf(job: DispatchJob): Omit<ClaimJob, "kind"> {
    const { self, collector: { now } } = this.#options;
    return {
      job: job.id,
      address: self.address,
      ageMilliseconds: now - job.submittedAt,
      lifetimeMilliseconds: job.deadlineAt - now +
        RUN_AFTER_SILENCE_MILLISECONDS,
    };
  }

  #send(
    job: DispatchJob,
    arbiter: FleetMember,
    claim: Omit<ClaimJob, "kind">,
  ): RequestIdentifier {
    const { collector } = this.#options;
    const request = collector.nextRequest();
    this.#requests.set(request, { job, arbiter });
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: arbiter.process,
      address: arbiter.address,
      message: { kind: DispatchRequestKind.ClaimJob, ...claim },
    });
    return request;
  }

  #recordFailure(
    job: DispatchJob,
    arbiter: FleetMember,
    reason: ClaimFailureReason,
  ): void {
    const { collector, ranking } = this.#options;
    ranking.recordFailure(arbiter.address, collector.now);
    collector.count(Counter.ClaimsUnanswered, reason);
    collector.record(
      EventNumber.ClaimUnanswered,
      "an arbiter did not answer the claim of a job",
      {
        severity: Severity.Warning,
        context: { job: job.id, arbiter: arbiter.process, reason },
      },
    );
  }
}
