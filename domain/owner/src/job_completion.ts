/**
 * Completion of jobs. Task ends, refusals, losses, cancellations and deadlines lead to the single answer
 * of a job, which is stored and sent to every entry that waits for it.
 */
import {
  assertInvariant,
  Counter,
  FailureReason,
  Invariant,
  type JobOutcome,
  JobOutcomeKind,
  type Milliseconds,
  NotRunReason,
  type OutputCollector,
  type ProcessIdentifier,
  RetryReason,
  type ShardNumber,
  Step,
  TaskEndKind,
  TaskRefusalReason,
  UnknownReason,
} from "@eelgrassfront/model";
import type { AnswerStore } from "./answer_store.ts";
import { type Job, type JobCancellation, JobPhase, TaskPhase } from "./job.ts";
import type { JobTable } from "./job_table.ts";
import type { OwnerReplies } from "./owner_replies.ts";

/** Collaborators and callbacks of a `JobCompletion`. */
export interface JobCompletionOptions {
  readonly collector: OutputCollector;
  readonly jobs: JobTable;
  readonly answers: AnswerStore;
  readonly replies: OwnerReplies;
  /** Whether the shard is granted and the view of the log is fresh. */
  readonly isGranted: (shard: ShardNumber) => boolean;
  /** Whether the grant of the shard is suspended for a handover. */
  readonly isSuspended: (shard: ShardNumber) => boolean;
  /** Cancels the waiting and the placed tasks of a job, as far as they have not started. */
  readonly cancelPlacements: (job: Job) => void;
  /** Adds a refused task to its queue again. */
  readonly enqueueRetry: (job: Job, index: number) => void;
}

/** Time that a cancellation may take; after it the outcome of the job is unknown. */
const CANCELLATION_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;

/** Completes the jobs of an owner. */
export class JobCompletion {
  readonly #options: JobCompletionOptions;
  readonly #cancelling = new Set<Job>();
  /** Jobs with a decided outcome that this owner may not send yet. */
  readonly #pendingAnswers = new Set<Job>();

  constructor(options: JobCompletionOptions) {
    this.#options = options;
  }

  /** Sends the pending answers that may be sent, expires jobs and finishes cancellations. */
  tick(): void {
    this.#sendPendingAnswers();
    const { collector, jobs } = this.#options;
    for (;;) {
      const job = jobs.popDue(collector.now);
      if (job === undefined) break;
      this.#expire(job);
    }
    for (const job of [...this.#cancelling]) this.#finishCancellation(job);
  }

  /** Handles the end of a task, or the proof that a task to be cancelled had started. */
  handleTaskEnd(job: Job, index: number): void {
    if (job.phase === JobPhase.Answered) return;
    this.#finishIfDone(job);
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Ended) return;
    if (job.phase !== JobPhase.Active) return;
    if (task.end.kind === TaskEndKind.Succeeded) return;
    this.#finishAfterFailure(job);
  }

  /** Handles the refusal of a placement. */
  handleTaskRefusal(job: Job, index: number, reason: TaskRefusalReason): void {
    if (job.phase === JobPhase.Cancelling) {
      this.#finishCancellation(job);
      return;
    }
    if (job.phase === JobPhase.Answered) return;
    this.#resolveRefusal(job, index, reason);
  }

  /** Handles the loss of a runner that may have started a task: the outcome is unknown. */
  handleTaskLoss(job: Job, runner: ProcessIdentifier): void {
    if (job.phase === JobPhase.Answered) return;
    this.#answer(job, {
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.TaskAnswerLost,
      step: Step.ExecuteTask,
      peer: runner,
    });
    this.#options.cancelPlacements(job);
  }

  /** Completes a recovered job if its task ends decide the outcome; otherwise the job stays active. */
  completeRecovered(job: Job): void {
    this.#finishIfDone(job);
    if (job.phase === JobPhase.Active) this.#finishAfterFailure(job);
  }

  /** Cancels a job: no more tasks are placed, and the answer depends on whether any task started. */
  cancel(job: Job, cancellation: JobCancellation): void {
    job.phase = JobPhase.Cancelling;
    this.#cancelling.add(job);
    job.cancellation = cancellation;
    job.tasks.forEach((task, index) => {
      if (task.phase === TaskPhase.Waiting) {
        job.setTask(index, { phase: TaskPhase.Withdrawn });
      }
    });
    this.#options.cancelPlacements(job);
    const at = this.#options.collector.now + CANCELLATION_TIMEOUT_MILLISECONDS;
    this.#options.jobs.setTimer(at, job);
    this.#finishCancellation(job);
  }

  /** Drops a job of a shard that this owner has lost or given up, and replies `NotOwner` to its waiters. */
  abandon(job: Job): void {
    const { jobs, replies } = this.#options;
    this.#stopTracking(job);
    jobs.close(job);
    for (const waiter of job.waiters) {
      replies.replyNotOwner(waiter, job.options.shard);
    }
  }

  #finishIfDone(job: Job): void {
    switch (job.phase) {
      case JobPhase.Active:
        if (job.isEveryTaskEnded) this.#finishEnded(job);
        return;
      case JobPhase.Cancelling:
        this.#finishCancellation(job);
        return;
      case JobPhase.Answered:
        return;
    }
  }

  #finishEnded(job: Job): void {
    const isEverySuccess = job.tasks.every((task) =>
      task.phase === TaskPhase.Ended &&
      task.end.kind === TaskEndKind.Succeeded
    );
    if (isEverySuccess) this.#answer(job, job.completedOutcome());
    else this.#finishAfterFailure(job);
  }

  #finishAfterFailure(job: Job): void {
    const outcome = failureOf(job);
    if (outcome === undefined) return;
    this.#answer(job, outcome);
    this.#options.cancelPlacements(job);
  }

  #resolveRefusal(job: Job, index: number, reason: TaskRefusalReason): void {
    switch (reason) {
      case TaskRefusalReason.Fenced:
        // A newer owner has fenced this epoch at the runner; its claim will appear in the log soon.
        job.setTask(index, { phase: TaskPhase.Waiting });
        return;
      case TaskRefusalReason.DeadlinePassed:
      case TaskRefusalReason.Cancelled:
        this.cancel(job, {
          failure: FailureReason.DeadlineExceeded,
          notRun: NotRunReason.DeadlinePassed,
        });
        return;
      case TaskRefusalReason.TaskAlreadyRecorded:
        this.#answer(job, {
          kind: JobOutcomeKind.Unknown,
          reason: UnknownReason.TaskAnswerLost,
          step: Step.ExecuteTask,
        });
        return;
      case TaskRefusalReason.QueueFull:
      case TaskRefusalReason.SlotTaken:
      case TaskRefusalReason.Leaving:
      case TaskRefusalReason.Isolated:
      case TaskRefusalReason.BackendServerUnavailable:
        this.#reschedule(job, index);
        return;
    }
  }

  #reschedule(job: Job, index: number): void {
    const { maximumAttempts } = job.options.kindOfWork;
    if (job.countRefusal(index) >= maximumAttempts) {
      this.cancel(job, {
        failure: FailureReason.RetriesExhausted,
        notRun: NotRunReason.RetriesExhausted,
      });
      return;
    }
    this.#options.collector.count(
      Counter.TasksRetried,
      RetryReason.RunnerRefused,
    );
    job.setTask(index, { phase: TaskPhase.Waiting });
    this.#options.enqueueRetry(job, index);
  }

  /**
   * Answers a cancelled job once it is certain whether any task started. The owner waits for a fresh view
   * of the log, since a stale view may miss starts under a new owner.
   */
  #finishCancellation(job: Job): void {
    if (!this.#options.isGranted(job.options.shard)) return;
    if (job.isAnyTaskIndeterminate && !job.isAnyTaskStarted) return;
    const { failure, notRun } = job.cancellation;
    if (!job.isAnyTaskStarted) {
      this.#answer(job, { kind: JobOutcomeKind.NotRun, reason: notRun });
      return;
    }
    this.#answer(job, {
      kind: JobOutcomeKind.Failed,
      reason: failure,
      step: Step.PlaceTask,
      detail: `the job ended before completion: ${failure}`,
    });
  }

  #expire(job: Job): void {
    switch (job.phase) {
      case JobPhase.Active:
        this.cancel(job, {
          failure: FailureReason.DeadlineExceeded,
          notRun: NotRunReason.DeadlinePassed,
        });
        return;
      case JobPhase.Cancelling:
        this.#answer(job, {
          kind: JobOutcomeKind.Unknown,
          reason: UnknownReason.TaskAnswerLost,
          step: Step.ExecuteTask,
        });
        return;
      case JobPhase.Answered:
        return;
    }
  }

  #answer(job: Job, outcome: JobOutcome): void {
    assertInvariant(
      job.phase !== JobPhase.Answered,
      Invariant.AnswerReachesItsRequest,
      () => `${job.identifier} is answered already`,
    );
    if (this.#options.isSuspended(job.options.shard)) {
      // A successor may already own the shard and answer; otherwise this owner does once its grant resumes.
      job.pendingOutcome ??= outcome;
      this.#pendingAnswers.add(job);
      return;
    }
    assertNotRunMeansNoStart(job, outcome);
    const { jobs, replies } = this.#options;
    this.#stopTracking(job);
    jobs.close(job);
    this.#storeAnswer(job, outcome);
    replies.countOutcome(outcome);
    for (const waiter of job.waiters) {
      replies.sendOutcome(waiter, job.options.shard, outcome);
    }
  }

  #sendPendingAnswers(): void {
    for (const job of [...this.#pendingAnswers]) {
      const outcome = job.pendingOutcome;
      if (this.#options.isSuspended(job.options.shard)) continue;
      this.#pendingAnswers.delete(job);
      job.pendingOutcome = undefined;
      if (outcome !== undefined) this.#answer(job, outcome);
    }
  }

  #stopTracking(job: Job): void {
    this.#cancelling.delete(job);
    this.#pendingAnswers.delete(job);
  }

  #storeAnswer(job: Job, outcome: JobOutcome): void {
    const { answers, collector: { now } } = this.#options;
    if (outcome.kind === JobOutcomeKind.NotRun) {
      // A later submission with the key may run. Only late copies of these requests get the refusal again.
      for (const { callerRequest } of job.waiters) {
        answers.addRefusal(now, callerRequest, outcome);
      }
      return;
    }
    const { digest } = job.options.submission;
    answers.add(now, { submission: job.identifier, digest, outcome });
  }
}

function failureOf(job: Job): JobOutcome | undefined {
  for (const [index, task] of job.tasks.entries()) {
    if (task.phase !== TaskPhase.Ended) continue;
    switch (task.end.kind) {
      case TaskEndKind.Succeeded:
        break;
      case TaskEndKind.Failed:
        return {
          kind: JobOutcomeKind.Failed,
          reason: FailureReason.TaskFailed,
          step: Step.ExecuteTask,
          detail: task.end.detail,
          taskIndex: index,
        };
      case TaskEndKind.Lost:
        return {
          kind: JobOutcomeKind.Unknown,
          reason: UnknownReason.TaskAnswerLost,
          step: Step.ExecuteTask,
        };
    }
  }
  return undefined;
}

function assertNotRunMeansNoStart(job: Job, outcome: JobOutcome): void {
  if (outcome.kind !== JobOutcomeKind.NotRun) return;
  assertInvariant(
    !job.isAnyTaskStarted && !job.isAnyTaskIndeterminate,
    Invariant.NotRunMeansNoStart,
    () => `${job.identifier} is refused although tasks may have started`,
  );
}
