/**
 * Scheduler of an entry's jobs from submission to answer: admission, queueing, retries and deadlines.
 */
import {
  assertNever,
  ClientAnswerKind,
  type DispatchOutput,
  GivenUpReason,
  JobFailureReason,
  JobRefusalReason,
  type Milliseconds,
  type OutputCollector,
  type RequestIdentifier,
  type WaitingDemand,
} from "@eelgrassfront/model";
import { isRefused, Prospect, prospectOf } from "@eelgrassfront/overload";
import { ArrivalRates } from "./arrival_rates.ts";
import type { ClaimExchange } from "./claim_exchange.ts";
import { type ClaimChange, ClaimChangeKind } from "./job_claims.ts";
import { EndingRuns } from "./ending_runs.ts";
import type { YieldRequest } from "./job_arbiter.ts";
import { CrashVerdict } from "./crash_suspects.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import { BacklogEstimator, type BacklogSource } from "./backlog_estimator.ts";
import { canStartInTime, expectedWait, retryAfter } from "./job_admission.ts";
import {
  findCapabilityRefusal,
  isConfinedToEvacuatedZones,
} from "./job_capability.ts";
import type { JobAnswers } from "./job_answers.ts";
import { JobDeadlines } from "./job_deadlines.ts";
import { JobGauges } from "./job_gauges.ts";
import { JobQueue } from "./job_queue.ts";
import type { TaskPlacer } from "./task_placer.ts";
import { firstDemand } from "./waiting_demand.ts";
import { isTakingWork } from "./worker_link_state.ts";

/** Collaborators of a `JobScheduler`. */
export interface JobSchedulerOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly placer: TaskPlacer;
  readonly answers: JobAnswers;
  readonly source: BacklogSource;
  readonly claims: ClaimExchange;
  /** Time after which a client whose request got no answer submits its job again. */
  readonly resubmissionMilliseconds: Milliseconds;
}

/** Longest interval of placement attempts while jobs wait and no load changes. */
const PLACEMENT_INTERVAL_MILLISECONDS: Milliseconds = 20;
/**
 * Shortest time for which a job is kept while no worker accepts work, as after a restart of the fleet.
 * Sessions open within this time, and a refusal would cost the client a longer wait before its retry.
 */
const NO_WORKER_GRACE_MILLISECONDS: Milliseconds = 1_500;
/** Retry time of a job that no known worker can run: the time that a restart takes. */
const DEFAULT_RETRY_AFTER_MILLISECONDS: Milliseconds = 1_000;
/** Longest time from the submission of a job to its acceptance that is allowed for when two copies are compared. */
const ACCEPTANCE_MILLISECONDS: Milliseconds = 100;

/** A placement that found no worker, which stays so until a load changes or the time has passed. */
interface BlockedPlacement {
  readonly job: DispatchJob;
  readonly loadRevision: number;
  readonly until: Milliseconds;
}

/** Schedules the jobs of an entry. */
export class JobScheduler {
  readonly #options: JobSchedulerOptions;
  readonly #jobs = new Map<string, DispatchJob>();
  readonly #byRequest = new Map<RequestIdentifier, DispatchJob>();
  readonly #deadlines = new JobDeadlines();
  readonly #queue = new JobQueue();
  readonly #arrivalRates = new ArrivalRates();
  readonly #gauges: JobGauges;
  readonly #endingRuns: EndingRuns;
  readonly #backlog: BacklogEstimator;
  /** The last placement that found no worker; undefined while none is known to fail. */
  #blocked: BlockedPlacement | undefined;
  #crashRevision = 0;
  /** Time before which nothing is placed. */
  #heldUntil: Milliseconds = 0;

  constructor(options: JobSchedulerOptions) {
    this.#options = options;
    this.#gauges = new JobGauges(options);
    this.#endingRuns = new EndingRuns(options.source.attempts);
    this.#backlog = new BacklogEstimator({
      ...options,
      queue: this.#queue,
      arrivalRates: this.#arrivalRates,
      crashes: options.placer.crashes,
    });
  }

  /** Number of unanswered jobs. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Returns the task that waits first for free capacity. */
  waitingDemand(): WaitingDemand | undefined {
    return firstDemand(this.#queue, this.#options.collector.now);
  }

  /** Returns an unanswered job. */
  find(id: string): DispatchJob | undefined {
    return this.#jobs.get(id);
  }

  /** Returns whether any worker accepts work. */
  hasWorkers(): boolean {
    return this.#options.source.links.all().some(isTakingWork);
  }

  /** Counts the queued jobs of a route of which no task has started or is placed. */
  countPending(route: string): number {
    return this.#queue.jobs.filter((job) =>
      job.route.name === route && job.isRefusable
    ).length;
  }

  /** Accepts a job or refuses it; a repeated submission joins the job that is already known. */
  admit(job: DispatchJob, isClosed: boolean): void {
    const { answers, placer: { crashes }, claims } = this.#options;
    const known = this.#jobs.get(job.id);
    const [request] = job.requests;
    if (known !== undefined && request !== undefined) {
      known.requests.push(request);
      known.submittedAt = this.#options.collector.now;
      this.#byRequest.set(request, known);
      return;
    }
    if (isClosed) {
      answers.answerRefused(job, JobRefusalReason.Leaving, { context: {} });
      return;
    }
    if (this.#endIfHopeless(job)) return;
    if (this.#refuseUnrunnable(job)) return;
    crashes.classify(job);
    const { now } = this.#options.collector;
    this.#arrivalRates.add(now, job.route.priority, job.waitingWork);
    this.#jobs.set(job.id, job);
    this.#deadlines.add(job);
    if (request !== undefined) this.#byRequest.set(request, job);
    answers.recordAccepted(job);
    if (this.#queue.isBehind(job) && this.#refuseIfOverloaded(job)) return;
    if (claims.claim(job)) this.start(job);
  }

  /** Starts a job that is granted to this entry: places or queues its tasks, or refuses it. */
  start(job: DispatchJob): void {
    const { placer } = this.#options;
    placer.crashes.classify(job);
    this.#queue.add(job);
    const isFirst = this.#queue.jobs[0] === job;
    const isPlaceable = isFirst && !this.#isHeld && !this.#isOnTrial(job);
    if (isPlaceable && placer.place(job)) {
      this.#removePlaced(job);
      return;
    }
    if (job.hasStarted) this.#queue.add(job);
    this.#refuseIfOverloaded(job);
  }

  /** Removes a job from the queue unless a task waits for the end of an earlier run. */
  #removePlaced(job: DispatchJob): void {
    if (job.hasWaitingTasks) this.#queue.add(job);
    else this.#queue.remove(job);
  }

  /** Applies the change of a claim to its job. */
  applyClaimChange({ kind, job }: ClaimChange): void {
    switch (kind) {
      case ClaimChangeKind.Granted:
        this.start(job);
        return;
      case ClaimChangeKind.Contested:
        this.suspend(job);
        return;
      default:
        assertNever(kind);
    }
  }

  /** Stops a job that another entry turns out to hold; it waits for its grant. */
  suspend(job: DispatchJob): void {
    this.#queue.remove(job);
    this.#options.placer.cancelTasks(job);
    this.#options.claims.wait(job);
  }

  /** Claims every job again after a pause, in which clients may have submitted it to another entry. */
  reclaimAll(): void {
    const { claims } = this.#options;
    claims.handlePause();
    for (const job of this.#jobs.values()) {
      this.#queue.remove(job);
      if (claims.claim(job)) this.#queue.add(job);
    }
  }

  /**
   * Gives up a job that its client has submitted again through another entry; keeps it when the other copy is so
   * recent that it must have been delayed. Returns whether no run of the job is left.
   */
  yield({ job: id, ageMilliseconds }: YieldRequest): boolean {
    const { now } = this.#options.collector;
    const job = this.#jobs.get(id);
    if (job === undefined) return !this.hasEarlierRuns(id);
    const lead = now - job.submittedAt - ageMilliseconds;
    const isWaiting = this.#options.claims.isPending(job) &&
      !this.hasEarlierRuns(id);
    // Of two copies that both wait, the older one goes first.
    if (isWaiting && lead < 0) {
      this.#options.claims.wait(job);
      return true;
    }
    const isResubmitted = lead >=
      this.#options.resubmissionMilliseconds - ACCEPTANCE_MILLISECONDS;
    if (!isResubmitted) return false;
    this.#giveUp(job, GivenUpReason.Resubmitted);
    return !this.hasEarlierRuns(id);
  }

  /** Whether runs of a job that this entry no longer holds may be left. */
  hasEarlierRuns(id: string): boolean {
    return this.#endingRuns.has(id, this.#options.collector.now);
  }

  /** Places nothing until a time, by which the clients that have left are known. */
  holdPlacements(until: Milliseconds): void {
    this.#heldUntil = until;
  }

  get #isHeld(): boolean {
    return this.#options.collector.now < this.#heldUntil;
  }

  /** Advances a job after one of its attempts was settled or released: completes, fails or queues it. */
  advance(job: DispatchJob): void {
    if (this.#jobs.get(job.id) !== job) {
      this.#endingRuns.record(job, this.#options.collector.now);
      return;
    }
    if (job.isCompleted) {
      this.#remove(job);
      this.#options.answers.answerCompleted(job);
      return;
    }
    if (this.#endIfHopeless(job)) return;
    this.#options.placer.crashes.classify(job);
    job.unblockTasks();
    const isWaiting = job.hasWaitingTasks;
    if (isWaiting && !this.#options.claims.isPending(job)) this.#queue.add(job);
  }

  /** Ends a job of which a task has failed or crashed workers too often. Returns whether it has. */
  #endIfHopeless(job: DispatchJob): boolean {
    const verdict = this.#options.placer.crashes.verdictOn(job);
    switch (verdict) {
      case CrashVerdict.Failed:
        this.#fail(job, JobFailureReason.WorkersCrashed);
        return true;
      case CrashVerdict.GivenUp:
        this.#giveUp(job, GivenUpReason.WorkersCrashed);
        return true;
      case CrashVerdict.None:
      case CrashVerdict.Pending:
        break;
      default:
        assertNever(verdict);
    }
    const { maximumAttempts } = job.route;
    const isFailed = job.tasks.some(({ failures }) =>
      failures >= maximumAttempts
    );
    if (isFailed) this.#fail(job, JobFailureReason.TaskFailed);
    return isFailed;
  }

  #fail(job: DispatchJob, reason: JobFailureReason): void {
    const { answers, placer } = this.#options;
    placer.cancelTasks(job);
    this.#remove(job);
    answers.answerFailed(job, reason, placer.crashes.describe(job));
  }

  /** Allows the tasks of a lost sidecar to be placed again, since they have ended there. */
  releaseHeldTasks(address: string): void {
    for (const job of this.#jobs.values()) job.releaseTasksHeldAt(address);
  }

  /** Handles a client's disconnection; a job without waiting requests is cancelled. */
  handleClientDisconnected(request: RequestIdentifier): void {
    const job = this.#byRequest.get(request);
    if (job === undefined) return;
    this.#byRequest.delete(request);
    job.requests.splice(job.requests.indexOf(request), 1);
    if (job.requests.length > 0) return;
    this.#options.placer.cancelTasks(job);
    this.#remove(job);
    this.#options.answers.recordAbandoned(job);
  }

  /** Cancels a job. Returns whether the job was known. */
  cancel(id: string): boolean {
    const job = this.#jobs.get(id);
    if (job === undefined) return false;
    this.#options.placer.cancelTasks(job);
    this.#remove(job);
    for (const request of job.requests) {
      this.#options.answers.answer(request, {
        kind: ClientAnswerKind.Cancelled,
      });
    }
    return true;
  }

  /** Refuses or gives up every job before the process ends. */
  endAll(reason: GivenUpReason): void {
    for (const job of [...this.#jobs.values()]) {
      if (job.isRefusable) this.#refuse(job, JobRefusalReason.Leaving);
      else this.#giveUp(job, reason);
    }
  }

  /** Enforces deadlines, places waiting tasks, and refuses jobs that can no longer start in time. */
  tick(): void {
    this.#classifyJobs();
    this.#endHopeless();
    this.#enforceDeadlines();
    for (const change of this.#options.claims.tick()) {
      this.applyClaimChange(change);
    }
    this.#placeWaiting();
    this.#refuseLate();
    this.#gauges.update(this.#queue.size, this.#jobs.size - this.#queue.size);
  }

  /** Returns the time of the next deadline or placement attempt. */
  nextAlarm(): Milliseconds {
    return Math.min(
      this.#deadlines.earliest(this.#jobs.values()),
      this.#queue.size === 0
        ? Infinity
        : this.#options.collector.now + PLACEMENT_INTERVAL_MILLISECONDS,
      this.#options.claims.nextAlarm(),
    );
  }

  /** Marks the waiting jobs that run apart after a crash, or no longer do so. */
  #classifyJobs(): void {
    const { crashes } = this.#options.placer;
    crashes.tick();
    if (this.#crashRevision === crashes.revision) return;
    this.#crashRevision = crashes.revision;
    for (const job of this.#queue.jobs) crashes.classify(job);
    this.#queue.sort();
  }

  /** Ends the jobs whose verdict was put off. */
  #endHopeless(): void {
    const suspects = this.#queue.jobs.filter(({ isSuspect }) => isSuspect);
    for (const job of suspects) this.#endIfHopeless(job);
  }

  #placeWaiting(): void {
    const isSuspectWaiting = this.#queue.jobs.at(-1)?.isSuspect === true;
    this.#options.placer.crashes.setSuspectWaiting(isSuspectWaiting);
    if (this.#queue.size === 0) return;
    if (this.#isHeld || this.#isStillBlocked()) return;
    let isBlocked = false;
    for (const job of [...this.#queue.jobs]) {
      // Suspects wait for workers of their own, so others neither block them nor are blocked.
      if (isBlocked && !job.isSuspect) continue;
      if (this.#isOnTrial(job)) continue;
      if (!this.#options.placer.place(job)) {
        if (this.#skipEvacuated(job)) continue;
        if (job.hasStarted) this.#queue.add(job);
        if (job === this.#queue.jobs[0]) this.#recordBlocked(job);
        if (job.isSuspect) return;
        isBlocked = true;
        continue;
      }
      this.#removePlaced(job);
    }
  }

  /** Refuses a job that waits only for evacuated zones, or lets others overtake it once it may have started. */
  #skipEvacuated(job: DispatchJob): boolean {
    const { links } = this.#options.source;
    if (!isConfinedToEvacuatedZones(job, links.all())) return false;
    const reason = findCapabilityRefusal(job, links);
    if (reason !== undefined && job.isRefusable) this.#refuse(job, reason);
    return true;
  }

  /** Whether a suspect must not run until the verdict on the crashes under it. */
  #isOnTrial(job: DispatchJob): boolean {
    return job.isSuspect && this.#options.placer.crashes.verdictOn(job) ===
        CrashVerdict.Pending;
  }

  #isStillBlocked(): boolean {
    if (this.#blocked === undefined) return false;
    const { job, loadRevision, until } = this.#blocked;
    return job === this.#queue.jobs[0] && this.#options.collector.now < until &&
      loadRevision === this.#options.source.links.loadRevision;
  }

  #recordBlocked(job: DispatchJob): void {
    const { collector, source } = this.#options;
    this.#blocked = {
      job,
      loadRevision: source.links.loadRevision,
      until: collector.now + PLACEMENT_INTERVAL_MILLISECONDS,
    };
  }

  #enforceDeadlines(): void {
    const { now } = this.#options.collector;
    if (now < this.#deadlines.earliest(this.#jobs.values())) return;
    for (const job of [...this.#jobs.values()]) {
      if (now < job.deadlineAt) continue;
      if (job.isRefusable) this.#refuse(job, JobRefusalReason.WaitedTooLong);
      else this.#giveUp(job, GivenUpReason.DeadlinePassed);
    }
  }

  #refuseLate(): void {
    if (this.#queue.size === 0) return;
    const { now } = this.#options.collector;
    const grace = this.hasWorkers() ? 0 : NO_WORKER_GRACE_MILLISECONDS;
    for (const job of [...this.#queue.jobs]) {
      const prospect = prospectOf(job, now);
      if (!job.isRefusable || !isRefused(prospect)) continue;
      const isKept = prospect === Prospect.Late && now <= job.arrivedAt + grace;
      if (!isKept) this.#refuse(job, JobRefusalReason.WaitedTooLong);
      else if (!job.isLate) {
        job.isLate = true;
        this.#queue.add(job);
      }
    }
  }

  /** Refuses a job that no known worker could ever run. */
  #refuseUnrunnable(job: DispatchJob): boolean {
    const { source, answers } = this.#options;
    const reason = findCapabilityRefusal(job, source.links);
    if (reason === undefined) return false;
    answers.answerRefused(job, reason, {
      retryAfterMilliseconds: DEFAULT_RETRY_AFTER_MILLISECONDS,
      context: { sidecars: source.links.all().length },
    });
    return true;
  }

  /** Refuses a job that cannot start in time. Returns whether it was refused. */
  #refuseIfOverloaded(job: DispatchJob): boolean {
    if (!job.isRefusable || !this.hasWorkers()) return false;
    const { now } = this.#options.collector;
    const backlog = this.#backlog.of(job);
    if (canStartInTime(job, now, backlog)) return false;
    this.#refuse(job, JobRefusalReason.Overloaded);
    return true;
  }

  #refuse(job: DispatchJob, reason: JobRefusalReason): void {
    const backlog = this.#backlog.of(job);
    this.#remove(job);
    this.#options.answers.answerRefused(job, reason, {
      retryAfterMilliseconds: retryAfter(backlog),
      context: {
        expectedWaitMilliseconds: Math.round(expectedWait(backlog)),
        servedMillicores: Math.round(backlog.servedMillicores),
        queuedJobs: this.#queue.size,
      },
    });
  }

  #giveUp(job: DispatchJob, reason: GivenUpReason): void {
    const { answers, placer } = this.#options;
    placer.cancelTasks(job);
    this.#remove(job);
    answers.answerGivenUp(job, reason, placer.crashes.describe(job));
  }

  #remove(job: DispatchJob): void {
    this.#jobs.delete(job.id);
    this.#deadlines.remove(job);
    this.#queue.remove(job);
    this.#options.claims.forget(job);
    this.#endingRuns.record(job, this.#options.collector.now);
    for (const request of job.requests) this.#byRequest.delete(request);
  }
}
