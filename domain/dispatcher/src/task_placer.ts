/**
 * Places tasks at sidecars, repeats requests whose connection was cut, takes tasks back, and takes what
 * the sidecars say of them.
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
import type { AttemptBook, TaskAttempt } from "./attempt_book.ts";
import {
  type DispatchJob,
  type DispatchTask,
  TaskPhase,
} from "./dispatch_job.ts";
import {
  chooseWorker,
  isSlowWorker,
  typicalSlowness,
  type WorkerChoice,
} from "./worker_choice.ts";
import type { JobRunTimes } from "./job_run_times.ts";
import { LinkPhase, type WorkerLinkState } from "./worker_link_state.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** Time for which a sidecar that refused a task gets none: a few round trips. */
const REFUSED_PAUSE_MILLISECONDS: Milliseconds = 30;
/** Time for which a worker whose tasks stand still gets none: longer than a trial takes to show it again. */
const STALLED_PAUSE_MILLISECONDS: Milliseconds = 2_000;
/** Time between two tasks that show whether a slow worker is slow still. */
const SLOW_TRIAL_MILLISECONDS: Milliseconds = 2_000;
/** Time in which a trial shows the present speed: two lists of runs. */
const TRIAL_MILLISECONDS: Milliseconds = 400;
/** Time between two looks for tasks to move: a fraction of the shortest tasks that are worth it. */
const MOVE_INTERVAL_MILLISECONDS: Milliseconds = 50;
/** How much sooner a task must end elsewhere, as a multiple of its run time, since estimates are rough. */
const MOVE_FACTOR = 1.5;
/** Time that taking a task back and placing it anew costs, at most. */
const MOVE_MILLISECONDS: Milliseconds = 100;
/**
 * Time after the loss of a sidecar in which its tasks may still run: the session that it may have renewed
 * last, or the longest lease if the sidecar died, with the worker's clock running slow.
 */
export const RUN_OUT_MILLISECONDS: Milliseconds = 1_100;

/** Why a task must be placed again. */
type RetriedReason =
  | InterruptionReason
  | NotStartedReason
  | SettlementKind.Failed;

/** What the placer needs. */
export interface TaskPlacerOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly links: WorkerLinks;
  readonly attempts: AttemptBook;
  readonly runTimes: JobRunTimes;
  readonly availabilityZone: string;
}

/** Places tasks. */
export class TaskPlacer {
  readonly #options: TaskPlacerOptions;
  #lastAttempt = 0;
  #nextMoveAt: Milliseconds = 0;

  constructor(options: TaskPlacerOptions) {
    this.#options = options;
  }

  /** Places what can be placed of a job. Returns whether all its ready tasks are placed. */
  place(job: DispatchJob): boolean {
    const { collector, links, attempts } = this.#options;
    for (const task of job.readyTasks(collector.now)) {
      const choice = chooseWorker({
        now: collector.now,
        links: links.all(),
        attempts,
        job,
        task,
        availabilityZone: this.#options.availabilityZone,
      });
      if (choice === undefined) return false;
      this.#send(job, task, choice);
    }
    return true;
  }

  /** Takes every task of a job back. */
  takeBack(job: DispatchJob): void {
    for (const attempt of this.#options.attempts.ofJob(job)) {
      this.#takeBackOne(attempt);
    }
  }

  /** Takes tasks back that end sooner when they begin again at a typical worker. */
  moveFromSlowWorkers(): void {
    const { collector, links, attempts } = this.#options;
    if (collector.now < this.#nextMoveAt) return;
    this.#nextMoveAt = collector.now + MOVE_INTERVAL_MILLISECONDS;
    const all = links.all();
    const typical = typicalSlowness(all);
    for (const link of all) {
      if (!isSlowWorker(link, typical)) continue;
      for (const attempt of attempts.at(link.address)) {
        if (this.#isWorthMoving(link, attempt)) this.#takeBackOne(attempt);
      }
    }
  }

  #isWorthMoving(
    { state }: WorkerLinkState,
    { job, sentAt, isTrial, isTakenBack }: TaskAttempt,
  ): boolean {
    if (isTakenBack || state.phase !== LinkPhase.Open) return false;
    const { now } = this.#options.collector;
    if (isTrial && now < sentAt + TRIAL_MILLISECONDS) return false;
    const expected = job.expectedRunMilliseconds;
    const remaining = (state.load?.slowness ?? 1) * expected - (now - sentAt);
    return remaining > MOVE_FACTOR * expected + MOVE_MILLISECONDS;
  }

  #takeBackOne(attempt: TaskAttempt): void {
    const link = this.#options.links.find(attempt.address);
    if (link?.state.phase !== LinkPhase.Open) return;
    attempt.isTakenBack = true;
    this.#request(link, {
      kind: DispatchRequestKind.CancelTaskAttempt,
      session: attempt.session,
      task: attempt.task.name,
      attempt: attempt.attempt,
    });
  }

  /** Takes a settlement. Returns the attempt that it ends. */
  settle(
    attempt: TaskAttempt,
    { settlement, load }: TaskSettled,
  ): void {
    const link = this.#options.links.find(attempt.address);
    if (link !== undefined) {
      this.#options.links.takeLoad(link, load);
      this.#judge(link, attempt, settlement);
    }
    this.#end(attempt);
    this.#learn(attempt, settlement);
  }

  /** Repeats the requests of a session whose connection was cut. */
  repeat(link: WorkerLinkState): void {
    for (const attempt of this.#options.attempts.at(link.address)) {
      if (link.state.phase !== LinkPhase.Open) return;
      if (attempt.session !== link.state.session) continue;
      const request = this.#request(link, this.#runTask(attempt));
      link.requestsSent += 1;
      this.#options.attempts.renumber(attempt, request, link.requestsSent);
    }
  }

  /** The tasks of a lost sidecar can be placed again when they have certainly ended. */
  release(
    link: WorkerLinkState,
    heldUntil: Milliseconds,
  ): readonly DispatchJob[] {
    const released = this.#options.attempts.at(link.address);
    for (const attempt of released) {
      this.#end(attempt);
      // It may have started, so the job can no longer be refused truthfully.
      attempt.job.hasStarted = true;
      attempt.task.phase = TaskPhase.Ready;
      attempt.task.heldUntil = heldUntil;
      attempt.task.placedAt = link.address;
      this.#recordRetry(attempt, InterruptionReason.SidecarLost);
    }
    return released.map(({ job }) => job);
  }

  #send(job: DispatchJob, task: DispatchTask, choice: WorkerChoice): void {
    const { collector, attempts } = this.#options;
    const { link, session, isSlow } = choice;
    if (isSlow) link.nextTrialAt = collector.now + SLOW_TRIAL_MILLISECONDS;
    this.#lastAttempt += 1;
    link.requestsSent += 1;
    const attempt: TaskAttempt = {
      job,
      task,
      attempt: this.#lastAttempt,
      address: link.address,
      session,
      sentAt: collector.now,
      isTrial: isSlow,
      isTakenBack: false,
      request: collector.nextRequest(),
      position: link.requestsSent,
    };
    attempts.add(attempt);
    task.phase = TaskPhase.Placed;
    task.placedAt = link.address;
    job.placed += 1;
    job.attempts += 1;
    this.#noteFirst(job);
    this.#sendAs(attempt.request, link, this.#runTask(attempt));
  }

  #noteFirst(job: DispatchJob): void {
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

  #end(attempt: TaskAttempt): void {
    this.#options.attempts.remove(attempt);
    attempt.job.placed -= 1;
  }

  /** Judges a sidecar's worker by what became of the task. */
  #judge(
    link: WorkerLinkState,
    { task }: TaskAttempt,
    settlement: TaskSettlement,
  ): void {
    const { now } = this.#options.collector;
    switch (settlement.kind) {
      case SettlementKind.Completed:
        link.failures.recordSuccess();
        return;
      case SettlementKind.Failed:
        link.failures.recordFailure(now);
        task.avoidedAddress = link.address;
        return;
      case SettlementKind.Interrupted:
        task.avoidedAddress = link.address;
        if (isWorkersFault(settlement.reason)) {
          link.failures.recordFailure(now);
          link.avoidUntil = now + STALLED_PAUSE_MILLISECONDS;
        }
        return;
      case SettlementKind.NotStarted:
        task.avoidedAddress = link.address;
        if (isSidecarsRefusal(settlement.reason)) {
          link.avoidUntil = Math.max(
            link.avoidUntil,
            now + REFUSED_PAUSE_MILLISECONDS,
          );
        }
        return;
      default:
        assertNever(settlement);
    }
  }

  #learn(attempt: TaskAttempt, settlement: TaskSettlement): void {
    const { runTimes } = this.#options;
    const { job, task } = attempt;
    switch (settlement.kind) {
      case SettlementKind.Completed:
        task.phase = TaskPhase.Completed;
        job.hasStarted = true;
        runTimes.learn(job.route, job.handedIn, settlement.runMilliseconds);
        return;
      case SettlementKind.Failed:
        task.phase = TaskPhase.Ready;
        task.failures += 1;
        job.hasStarted = true;
        this.#recordRetry(attempt, settlement.kind);
        return;
      case SettlementKind.Interrupted:
        task.phase = TaskPhase.Ready;
        job.hasStarted = true;
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
    { job, task, address, attempt }: TaskAttempt,
    reason: RetriedReason,
  ): void {
    if (reason === InterruptionReason.Cancelled) return;
    const { collector } = this.#options;
    collector.count(Counter.TasksInterrupted, reason);
    // Two entries that choose the same room are the usual course of a busy time.
    if (reason === NotStartedReason.InsufficientCapacity) return;
    collector.record(EventNumber.TaskRetried, "a task must be placed again", {
      context: {
        job: job.id,
        task: jobTaskKey(task.name),
        sidecar: address,
        attempt,
        reason,
      },
    });
  }

  #runTask({ job, task, session, attempt }: TaskAttempt): DispatchRequest {
    return {
      kind: DispatchRequestKind.RunTask,
      session,
      task: task.name,
      attempt,
      content: job.content,
      resources: task.step.resources,
      expectedMilliseconds: Math.round(job.expectedRunMilliseconds),
    };
  }

  #request(link: WorkerLinkState, message: DispatchRequest): number {
    const request = this.#options.collector.nextRequest();
    this.#sendAs(request, link, message);
    return request;
  }

  #sendAs(
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

/** Whether the sidecar takes nothing at all for now; its load tells the rest. */
function isSidecarsRefusal(reason: NotStartedReason): boolean {
  switch (reason) {
    case NotStartedReason.Cancelled:
    case NotStartedReason.InsufficientCapacity:
      return false;
    case NotStartedReason.StaleSession:
    case NotStartedReason.Draining:
    case NotStartedReason.Leaving:
    case NotStartedReason.NoWorker:
    case NotStartedReason.ExceedsCapacity:
    case NotStartedReason.WorkerRefused:
    case NotStartedReason.WorkerUnresponsive:
      return true;
    default:
      return assertNever(reason);
  }
}

function isWorkersFault(reason: InterruptionReason): boolean {
  switch (reason) {
    case InterruptionReason.NoProgress:
      return true;
    case InterruptionReason.Cancelled:
    case InterruptionReason.LeaseExpired:
    case InterruptionReason.SessionEnded:
    case InterruptionReason.WorkerLost:
    case InterruptionReason.SidecarLost:
      return false;
    default:
      return assertNever(reason);
  }
}
