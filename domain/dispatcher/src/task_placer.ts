/**
 * Places tasks at sidecars, resends requests after a connection loss, cancels attempts, and applies the
 * settlements that sidecars return.
 */
import {
  assertNever,
  Counter,
  type DispatchOutput,
  DispatchOutputKind,
  type DispatchRequest,
  DispatchRequestKind,
  EventNumber,
  Histogram,
  InterruptionReason,
  jobTaskKey,
  type Milliseconds,
  NotStartedReason,
  type OutputCollector,
  OutputKind,
  SettlementKind,
  type TaskSettled,
  type TaskSettlement,
} from "@eelgrassfront/model";
import type { TaskAttempt, TaskAttemptIndex } from "./task_attempt_index.ts";
import {
  type DispatchJob,
  type DispatchTask,
  TaskPhase,
} from "./dispatch_job.ts";
import { CrashPolicy } from "./crash_policy.ts";
import {
  isSlowWorker,
  requirementsOf,
  type WorkerChoice,
  WorkerStatistics,
} from "./worker_choice.ts";
import { RUN_AFTER_SESSION_MILLISECONDS } from "./ending_runs.ts";
import type { JobRunTimes } from "./job_run_times.ts";
import { isSidecarUnavailable, isWorkerFault } from "./settlement_reasons.ts";
import {
  type LinkLost,
  LinkPhase,
  type WorkerLinkState,
} from "./worker_link_state.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** Time without placements at a sidecar that accepts no tasks for now: a few round trips. */
const REFUSAL_BACKOFF_MILLISECONDS: Milliseconds = 30;
/**
 * Time without placements at a worker whose tasks made no progress: longer than a probe task takes to show
 * the stall again.
 */
const STALL_BACKOFF_MILLISECONDS: Milliseconds = 2_000;
/** Interval of the probe tasks that show whether a slow worker is still slow. */
const PROBE_INTERVAL_MILLISECONDS: Milliseconds = 2_000;
/** Time in which a probe task shows the worker's present speed: two polls of the worker's runs. */
const PROBE_MILLISECONDS: Milliseconds = 400;
/** Longest interval at which a sidecar observes the progress of its runs. */
const OBSERVATION_MILLISECONDS: Milliseconds = 200;
/** Interval of the search for tasks to reschedule: a fraction of the shortest tasks worth rescheduling. */
const RESCHEDULING_INTERVAL_MILLISECONDS: Milliseconds = 50;
/** Remaining time that justifies rescheduling, in expected run times; above 1 since estimates are rough. */
const RESCHEDULING_FACTOR = 1.5;
/** Upper bound of the time in which a task is cancelled and placed again. */
const RESCHEDULING_COST_MILLISECONDS: Milliseconds = 100;
/** Reasons for which a task is retried. */
type TaskRetryReason =
  | InterruptionReason
  | NotStartedReason
  | SettlementKind.Failed;

/** Links, attempts and run-time estimates by which tasks are placed. */
export interface TaskPlacerOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly links: WorkerLinks;
  readonly attempts: TaskAttemptIndex;
  readonly runTimes: JobRunTimes;
  readonly availabilityZone: string;
}

/** Places tasks at sidecars and applies their settlements. */
export class TaskPlacer {
  /** Keeps tasks that may crash their workers apart. */
  readonly crashes: CrashPolicy;
  readonly #options: TaskPlacerOptions;
  #lastAttempt = 0;
  #nextReschedulingAt: Milliseconds = 0;
  /** Whether a worker appears slow and the replies of its peers are awaited. */
  #isConfirmationPending = false;

  constructor(options: TaskPlacerOptions) {
    this.#options = options;
    this.crashes = new CrashPolicy(options);
  }

  /** Places the ready tasks of a job until no worker is found for one. Returns whether all are placed. */
  place(job: DispatchJob): boolean {
    const { collector, attempts } = this.#options;
    const { now } = collector;
    const ready = job.readyTasks(now);
    if (ready.length === 0) return true;
    const links = this.#options.links.all();
    const statistics = new WorkerStatistics({
      now,
      links,
      medianSlowness: this.#options.links.medianSlowness,
    });
    let last: WorkerLinkState | undefined;
    for (const task of ready) {
      const options = {
        now,
        statistics,
        attempts,
        speeds: this.#options.links.speeds,
        job,
        task,
        availabilityZone: this.#options.availabilityZone,
      };
      // Tasks of one job stay together, so that a lost worker, or a job that crashes workers, affects fewer others.
      const choice = last === undefined
        ? this.crashes.chooseWorker({ ...options, links })
        : this.crashes.chooseWorker({ ...options, links: [last] }) ??
          this.crashes.chooseWorker({ ...options, links });
      if (choice === undefined) return false;
      last = choice.link;
      this.#sendTask(job, task, choice);
    }
    return true;
  }

  /** Cancels every attempt of a job. */
  cancelTasks(job: DispatchJob): void {
    for (const attempt of this.#options.attempts.ofJob(job)) {
      this.#cancel(attempt);
    }
  }

  /** Cancels attempts at slow workers if their tasks end sooner when restarted at a typical worker. */
  rescheduleFromSlowWorkers(): void {
    const { collector, links, attempts } = this.#options;
    const isDue = collector.now >= this.#nextReschedulingAt;
    if (!isDue && !this.#isConfirmationPending) return;
    this.#nextReschedulingAt = collector.now +
      RESCHEDULING_INTERVAL_MILLISECONDS;
    this.#isConfirmationPending = false;
    const all = links.all();
    const median = links.medianSlowness;
    for (const link of all) {
      if (!this.#isConfirmedSlow(link, all, median)) continue;
      for (const attempt of attempts.atSidecar(link.address)) {
        if (this.#shouldReschedule(link, attempt)) this.#cancel(attempt);
      }
    }
  }

  /**
   * Whether a worker is still slow after most of its peers have observed the same time. Where a job runs longer
   * than its kind usually does, all its workers appear slow, but they report it one after the other.
   */
  #isConfirmedSlow(
    link: WorkerLinkState,
    all: readonly WorkerLinkState[],
    median: number,
  ): boolean {
    const { state } = link;
    if (
      state.phase !== LinkPhase.Open ||
      !isSlowWorker(link, median, this.#options.links.speeds)
    ) {
      link.slowSince = undefined;
      return false;
    }
    link.slowSince ??= state.lastReplyAt;
    const observedAt = link.slowSince + OBSERVATION_MILLISECONDS;
    let peers = 0;
    let replied = 0;
    for (const { state: peer } of all) {
      if (peer.phase !== LinkPhase.Open || peer === state) continue;
      peers += 1;
      if (peer.lastReplyAt >= observedAt) replied += 1;
    }
    const isConfirmed = 2 * replied >= peers;
    if (!isConfirmed) this.#isConfirmationPending = true;
    return isConfirmed;
  }

  #shouldReschedule(
    { state }: WorkerLinkState,
    { job, sentAt, isProbe, isCancelRequested }: TaskAttempt,
  ): boolean {
    if (isCancelRequested || state.phase !== LinkPhase.Open) return false;
    const { now } = this.#options.collector;
    if (isProbe && now < sentAt + PROBE_MILLISECONDS) return false;
    const expected = job.expectedRunMilliseconds;
    const remaining = (state.load?.slowness ?? 1) * expected - (now - sentAt);
    return remaining >
      RESCHEDULING_FACTOR * expected + RESCHEDULING_COST_MILLISECONDS;
  }

  #cancel(attempt: TaskAttempt): void {
    const link = this.#options.links.find(attempt.address);
    if (link?.state.phase !== LinkPhase.Open) return;
    attempt.isCancelRequested = true;
    this.#sendCancellation(link, attempt);
  }

  #sendCancellation(
    link: WorkerLinkState,
    { session, task, attemptNumber: attempt }: TaskAttempt,
  ): void {
    this.#sendNewRequest(link, {
      kind: DispatchRequestKind.CancelTaskAttempt,
      session,
      task: task.name,
      attempt,
    });
  }

  /** Applies a settlement to its attempt, its task and its worker. */
  applySettlement(
    attempt: TaskAttempt,
    { settlement, load }: TaskSettled,
  ): void {
    const link = this.#options.links.find(attempt.address);
    if (link !== undefined) {
      this.#options.links.updateLoad(link, load);
      this.#updateWorkerHealth(link, attempt, settlement);
    }
    this.#removeAttempt(attempt);
    this.crashes.applySettlement(attempt, settlement);
    this.#updateTask(attempt, settlement);
  }

  /**
   * Resends the unanswered requests of a session whose connection was lost. A cancellation precedes the request
   * to run the task, which then never starts if the sidecar has not read it before.
   */
  resendRequests(link: WorkerLinkState): void {
    for (const attempt of this.#options.attempts.atSidecar(link.address)) {
      if (link.state.phase !== LinkPhase.Open) return;
      if (attempt.session !== link.state.session) continue;
      if (attempt.isCancelRequested) this.#sendCancellation(link, attempt);
      const request = this.#sendNewRequest(link, this.#runTaskRequest(attempt));
      link.requestsSent += 1;
      this.#options.attempts.replaceRequest(
        attempt,
        request,
        link.requestsSent,
      );
    }
  }

  /** Releases the tasks of a lost sidecar; they are placed again only when they have certainly ended there. */
  releaseTasks({ link, sessionEndsAt }: LinkLost): readonly DispatchJob[] {
    const notBefore = sessionEndsAt + RUN_AFTER_SESSION_MILLISECONDS;
    const released = this.#options.attempts.atSidecar(link.address);
    for (const attempt of released) {
      this.#removeAttempt(attempt);
      // The task may have started, so a refusal of the job would be false.
      attempt.job.mayHaveStarted = true;
      attempt.task.phase = TaskPhase.Ready;
      attempt.task.notBefore = notBefore;
      attempt.task.sidecarAddress = link.address;
      this.#recordRetry(attempt, InterruptionReason.SidecarLost);
    }
    return released.map(({ job }) => job);
  }

  #sendTask(job: DispatchJob, task: DispatchTask, choice: WorkerChoice): void {
    const { collector, attempts } = this.#options;
    const { link, session, isSlow } = choice;
    if (isSlow) link.nextProbeAt = collector.now + PROBE_INTERVAL_MILLISECONDS;
    this.#lastAttempt += 1;
    link.requestsSent += 1;
    const attempt: TaskAttempt = {
      job,
      task,
      attemptNumber: this.#lastAttempt,
      address: link.address,
      session,
      sentAt: collector.now,
      isProbe: isSlow,
      isApart: job.isSuspect,
      isCancelRequested: false,
      request: collector.nextRequest(),
      requestPosition: link.requestsSent,
    };
    attempts.add(attempt);
    this.#recordMove(attempt);
    task.phase = TaskPhase.Placed;
    task.sidecarAddress = link.address;
    job.placedTaskCount += 1;
    job.attemptCount += 1;
    this.#recordFirstPlacement(job);
    this.#sendRequest(attempt.request, link, this.#runTaskRequest(attempt));
  }

  #recordMove({ job, task, address, attemptNumber: attempt }: TaskAttempt) {
    const earlier = task.sidecarAddress;
    if (earlier === undefined || earlier === address) return;
    // A task that was refused for lack of capacity has not run at the earlier sidecar.
    if (!job.mayHaveStarted) return;
    this.#options.collector.record(
      EventNumber.TaskMoved,
      "a task is sent to another sidecar",
      {
        context: {
          job: job.id,
          task: jobTaskKey(task.name),
          sidecar: address,
          earlier,
          attempt,
        },
      },
    );
  }

  #recordFirstPlacement(job: DispatchJob): void {
    if (job.firstPlacedAt !== undefined) return;
    const { collector } = this.#options;
    job.firstPlacedAt = collector.now;
    collector.add({
      kind: DispatchOutputKind.ObserveDuration,
      histogram: Histogram.JobWait,
      label: job.route.name,
      milliseconds: collector.now - job.arrivedAt,
    });
  }

  #removeAttempt(attempt: TaskAttempt): void {
    this.#options.attempts.remove(attempt);
    attempt.job.placedTaskCount -= 1;
  }

  /** Updates the health of a worker by the settlement of a task. */
  #updateWorkerHealth(
    link: WorkerLinkState,
    { job, task }: TaskAttempt,
    settlement: TaskSettlement,
  ): void {
    const { now } = this.#options.collector;
    switch (settlement.kind) {
      case SettlementKind.Completed:
        link.detector.recordSuccess();
        if (link.state.phase === LinkPhase.Open && link.state.profile) {
          this.#options.links.speeds.observe(
            link.state.profile,
            job.route.name,
            settlement.runMilliseconds,
          );
        }
        return;
      case SettlementKind.Failed:
        link.detector.recordFailure(now);
        task.avoidedAddress = link.address;
        return;
      case SettlementKind.Interrupted:
        task.avoidedAddress = link.address;
        if (isWorkerFault(settlement.reason)) {
          link.detector.recordFailure(now);
          link.avoidUntil = now + STALL_BACKOFF_MILLISECONDS;
        }
        return;
      case SettlementKind.NotStarted:
        task.avoidedAddress = link.address;
        if (settlement.reason === NotStartedReason.UnsuitableWorker) {
          this.#options.links.refreshProfile(link);
        }
        if (isSidecarUnavailable(settlement.reason)) {
          link.avoidUntil = Math.max(
            link.avoidUntil,
            now + REFUSAL_BACKOFF_MILLISECONDS,
          );
        }
        return;
      default:
        assertNever(settlement);
    }
  }

  #updateTask(attempt: TaskAttempt, settlement: TaskSettlement): void {
    const { runTimes } = this.#options;
    const { job, task } = attempt;
    switch (settlement.kind) {
      case SettlementKind.Completed:
        task.phase = TaskPhase.Completed;
        job.mayHaveStarted = true;
        runTimes.observe(
          job.route,
          job.submittedJob,
          settlement.runMilliseconds,
        );
        return;
      case SettlementKind.Failed:
        task.phase = TaskPhase.Ready;
        task.failures += 1;
        job.mayHaveStarted = true;
        this.#recordRetry(attempt, settlement.kind);
        return;
      case SettlementKind.Interrupted:
        task.phase = TaskPhase.Ready;
        job.mayHaveStarted = true;
        this.#recordRetry(attempt, settlement.reason);
        return;
      case SettlementKind.NotStarted:
        task.phase = TaskPhase.Ready;
        this.#recordRetry(attempt, settlement.reason);
        return;
      default:
        assertNever(settlement);
    }
  }

  #recordRetry(
    { job, task, address, attemptNumber: attempt }: TaskAttempt,
    reason: TaskRetryReason,
  ): void {
    if (reason === InterruptionReason.Cancelled) return;
    const { collector } = this.#options;
    collector.count(Counter.TasksInterrupted, reason);
    // Under load it is normal that two entries choose the same free capacity.
    if (reason === NotStartedReason.InsufficientCapacity) return;
    collector.record(EventNumber.TaskRetried, "a task is retried", {
      context: {
        job: job.id,
        task: jobTaskKey(task.name),
        sidecar: address,
        attempt,
        reason,
      },
    });
  }

  #runTaskRequest(
    { job, task, session, attemptNumber: attempt, isApart }: TaskAttempt,
  ): DispatchRequest {
    return {
      kind: DispatchRequestKind.RunTask,
      session,
      task: task.name,
      attempt,
      content: job.content,
      resources: task.step.resources,
      expectedMilliseconds: Math.round(job.expectedRunMilliseconds),
      requirements: requirementsOf(job, task.step),
      workKind: job.route.name,
      ...(isApart ? { suspectRoute: job.route.name } : {}),
    };
  }

  #sendNewRequest(link: WorkerLinkState, message: DispatchRequest): number {
    const request = this.#options.collector.nextRequest();
    this.#sendRequest(request, link, message);
    return request;
  }

  #sendRequest(
    request: number,
    link: WorkerLinkState,
    message: DispatchRequest,
  ): void {
    this.#options.collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: link.process,
      address: link.address,
      message,
    });
  }
}
