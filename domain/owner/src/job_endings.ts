/**
 * How jobs end: from the ends of their tasks, from refusals and losses, from cancellations and deadlines,
 * to the one answer that is kept and given to everybody who waits for it.
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
import type { AnswerBook } from "./answer_book.ts";
import { type Job, JobPhase, TaskPhase, type Withdrawal } from "./job.ts";
import type { JobTable } from "./job_table.ts";
import type { OwnerReplies } from "./owner_replies.ts";

/** What the ends of jobs need. */
export interface JobEndingsOptions {
  readonly collector: OutputCollector;
  readonly jobs: JobTable;
  readonly answers: AnswerBook;
  readonly replies: OwnerReplies;
  /** Whether the shard is granted and the view fresh. */
  readonly isGranted: (shard: ShardNumber) => boolean;
  /** Whether the shard is on its way to a successor. */
  readonly isStopped: (shard: ShardNumber) => boolean;
  /** Takes back every placed task of a job. */
  readonly takeBackPlacements: (job: Job) => void;
  /** Lets a refused task wait for a runner again. */
  readonly enqueueRetry: (job: Job, index: number) => void;
}

/** Time after its deadline in which a job's placed tasks are taken back. */
const WITHDRAWAL_MILLISECONDS: Milliseconds = 2_000;

/** The ends of an owner's jobs. */
export class JobEndings {
  readonly #options: JobEndingsOptions;
  readonly #withdrawing = new Set<Job>();
  /** Jobs whose outcome is decided and waits until this owner may answer. */
  readonly #held = new Set<Job>();

  constructor(options: JobEndingsOptions) {
    this.#options = options;
  }

  /** Does what is due. */
  tick(): void {
    this.#answerHeld();
    const { collector, jobs } = this.#options;
    for (;;) {
      const job = jobs.takeDue(collector.now);
      if (job === undefined) break;
      this.#expire(job);
    }
    for (const job of [...this.#withdrawing]) this.#finishWithdrawal(job);
  }

  /** Takes the end of a task. */
  endTask(job: Job, index: number): void {
    if (job.phase === JobPhase.Answered) return;
    this.#finishIfDone(job);
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Ended) return;
    if (job.phase !== JobPhase.Active) return;
    if (task.end.kind === TaskEndKind.Succeeded) return;
    this.#finishAfterFailure(job);
  }

  /** Takes the refusal of a placement. */
  refuseTask(job: Job, index: number, reason: TaskRefusalReason): void {
    if (job.phase === JobPhase.Withdrawing) {
      this.#finishWithdrawal(job);
      return;
    }
    if (job.phase === JobPhase.Answered) return;
    this.#retryRefused(job, index, reason);
  }

  /** Takes the loss of a runner that may have started a task. */
  loseTask(job: Job, runner: ProcessIdentifier): void {
    if (job.phase === JobPhase.Answered) return;
    this.#answer(job, {
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.TaskAnswerLost,
      step: Step.ExecuteTask,
      peer: runner,
    });
    this.#options.takeBackPlacements(job);
  }

  /** Ends what a recovered job already knows; it stays active while tasks are to be run. */
  finishRecovered(job: Job): void {
    this.#finishIfDone(job);
    if (job.phase === JobPhase.Active) this.#finishAfterFailure(job);
  }

  /** Takes a job back: nothing more of it is placed, and it is answered by what has started. */
  withdraw(job: Job, withdrawal: Withdrawal): void {
    job.phase = JobPhase.Withdrawing;
    this.#withdrawing.add(job);
    job.withdrawal = withdrawal;
    job.tasks.forEach((task, index) => {
      if (task.phase === TaskPhase.Waiting) {
        job.put(index, { phase: TaskPhase.Withdrawn });
      }
    });
    this.#options.takeBackPlacements(job);
    const at = this.#options.collector.now + WITHDRAWAL_MILLISECONDS;
    this.#options.jobs.setTimer(at, job);
    this.#finishWithdrawal(job);
  }

  /** Lets a job go that another owner answers for. */
  abandon(job: Job): void {
    const { jobs, replies } = this.#options;
    this.#forget(job);
    jobs.close(job);
    for (const waiter of job.waiters) {
      replies.denyOwnership(waiter, job.options.shard);
    }
  }

  #finishIfDone(job: Job): void {
    switch (job.phase) {
      case JobPhase.Active:
        if (job.isEveryTaskEnded) this.#finishEnded(job);
        return;
      case JobPhase.Withdrawing:
        this.#finishWithdrawal(job);
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
    this.#options.takeBackPlacements(job);
  }

  #retryRefused(job: Job, index: number, reason: TaskRefusalReason): void {
    switch (reason) {
      case TaskRefusalReason.Fenced:
        // A newer owner has asked the runner; the log will say so soon.
        job.put(index, { phase: TaskPhase.Waiting });
        return;
      case TaskRefusalReason.DeadlinePassed:
      case TaskRefusalReason.Cancelled:
        this.withdraw(job, {
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
        this.#placeAgain(job, index);
        return;
    }
  }

  #placeAgain(job: Job, index: number): void {
    const { maximumAttempts } = job.options.kindOfWork;
    if (job.countRefusal(index) >= maximumAttempts) {
      this.withdraw(job, {
        failure: FailureReason.RetriesExhausted,
        notRun: NotRunReason.RetriesExhausted,
      });
      return;
    }
    this.#options.collector.count(
      Counter.TasksRetried,
      RetryReason.RunnerRefused,
    );
    job.put(index, { phase: TaskPhase.Waiting });
    this.#options.enqueueRetry(job, index);
  }

  /** Answers a job that is taken back; a view that is not fresh may miss the starts of a new owner. */
  #finishWithdrawal(job: Job): void {
    if (!this.#options.isGranted(job.options.shard)) return;
    if (job.isAnyTaskInDoubt && !job.isAnyTaskStarted) return;
    const { failure, notRun } = job.withdrawal;
    if (!job.isAnyTaskStarted) {
      this.#answer(job, { kind: JobOutcomeKind.NotRun, reason: notRun });
      return;
    }
    this.#answer(job, {
      kind: JobOutcomeKind.Failed,
      reason: failure,
      step: Step.PlaceTask,
      detail: `the job was ended: ${failure}`,
    });
  }

  #expire(job: Job): void {
    switch (job.phase) {
      case JobPhase.Active:
        this.withdraw(job, {
          failure: FailureReason.DeadlineExceeded,
          notRun: NotRunReason.DeadlinePassed,
        });
        return;
      case JobPhase.Withdrawing:
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
      () => `${job.identifier} was answered before`,
    );
    if (this.#options.isStopped(job.options.shard)) {
      // A successor may own the shard by now; it answers, or this owner does once it grants again.
      job.heldOutcome ??= outcome;
      this.#held.add(job);
      return;
    }
    assertNotRunIsTrue(job, outcome);
    const { jobs, replies } = this.#options;
    this.#forget(job);
    jobs.close(job);
    this.#keepAnswer(job, outcome);
    replies.count(outcome);
    for (const waiter of job.waiters) {
      replies.giveOutcome(waiter, job.options.shard, outcome);
    }
  }

  #answerHeld(): void {
    for (const job of [...this.#held]) {
      const outcome = job.heldOutcome;
      if (this.#options.isStopped(job.options.shard)) continue;
      this.#held.delete(job);
      job.heldOutcome = undefined;
      if (outcome !== undefined) this.#answer(job, outcome);
    }
  }

  #forget(job: Job): void {
    this.#withdrawing.delete(job);
    this.#held.delete(job);
  }

  #keepAnswer(job: Job, outcome: JobOutcome): void {
    const { answers, collector: { now } } = this.#options;
    if (outcome.kind === JobOutcomeKind.NotRun) {
      // A later submission of the key may run; only late copies of these requests are refused alike.
      for (const { callerRequest } of job.waiters) {
        answers.keepRefusal(now, callerRequest, outcome);
      }
      return;
    }
    const { digest } = job.options.submission;
    answers.keep(now, { submission: job.identifier, digest, outcome });
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

function assertNotRunIsTrue(job: Job, outcome: JobOutcome): void {
  if (outcome.kind !== JobOutcomeKind.NotRun) return;
  assertInvariant(
    !job.isAnyTaskStarted && !job.isAnyTaskInDoubt,
    Invariant.NotRunMeansNoStart,
    () => `${job.identifier} is refused though tasks may have started`,
  );
}
