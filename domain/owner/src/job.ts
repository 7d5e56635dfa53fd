/**
 * A job as its owner tracks it: the phase of each task, the entries that wait for the outcome, and the
 * outcome that follows from the phases.
 */
import {
  assertInvariant,
  type CallerRequestIdentifier,
  type Epoch,
  FailureReason,
  identifySubmission,
  Invariant,
  type JobOutcome,
  JobOutcomeKind,
  JobState,
  type KindOfWork,
  type Milliseconds,
  NotRunReason,
  type ProcessIdentifier,
  type RequestIdentifier,
  type ShardNumber,
  type Submission,
  type SubmissionIdentifier,
  type TaskEnd,
  TaskEndKind,
} from "@eelgrassfront/model";

/** A request of an entry that waits for the outcome of a job. */
export interface JobWaiter {
  readonly from: ProcessIdentifier;
  readonly request: RequestIdentifier;
  readonly callerRequest: CallerRequestIdentifier;
}

/** Phases of a task at its owner. */
export enum TaskPhase {
  Waiting = "waiting",
  Placed = "placed",
  Withdrawn = "withdrawn",
  Ended = "ended",
}

/** The task waits at the owner for a runner. */
export interface WaitingTask {
  readonly phase: TaskPhase.Waiting;
}

/** The task is placed on a runner and may have started. */
export interface PlacedTask {
  readonly phase: TaskPhase.Placed;
  readonly runner: ProcessIdentifier;
  readonly attempt: number;
  readonly epoch: Epoch;
  /** True once the runner has confirmed the start. */
  readonly isStarted: boolean;
}

/** The task was cancelled while it waited, or the runner refused it; no attempt of it can start. */
export interface WithdrawnTask {
  readonly phase: TaskPhase.Withdrawn;
}

/** The task ran and ended. */
export interface EndedTask {
  readonly phase: TaskPhase.Ended;
  readonly end: TaskEnd;
}

/** Phase of a task at its owner. */
export type TaskState = WaitingTask | PlacedTask | WithdrawnTask | EndedTask;

/** Phases of a job. */
export enum JobPhase {
  Active = "active",
  /** No more tasks are placed; the placed ones are being cancelled. */
  Cancelling = "withdrawing",
  Answered = "answered",
}

/** Reasons with which a cancelled job is answered. */
export interface JobCancellation {
  /** Reason when at least one task started. */
  readonly failure: FailureReason;
  /** Reason when no task started. */
  readonly notRun: NotRunReason;
}

/** Submission, ownership and times of a job. */
export interface JobOptions {
  readonly submission: Submission;
  readonly shard: ShardNumber;
  readonly epoch: Epoch;
  readonly kindOfWork: KindOfWork;
  readonly arrivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  /** Returns an attempt number that no job of this owner has used. */
  readonly nextAttempt: () => number;
}

/** A job with the phases of its tasks. */
export class Job {
  readonly options: JobOptions;
  readonly identifier: SubmissionIdentifier;
  readonly waiters: JobWaiter[] = [];
  phase: JobPhase = JobPhase.Active;
  /** Reasons of the cancellation; valid only while the job is cancelling. */
  cancellation: JobCancellation = {
    failure: FailureReason.Cancelled,
    notRun: NotRunReason.Cancelled,
  };
  /** Decided outcome that the owner may not send yet. */
  pendingOutcome: JobOutcome | undefined;
  /** Run time charged for the tasks: as expected, until the end of a task reports the measured one. */
  servedMilliseconds: Milliseconds = 0;
  readonly #tasks: TaskState[];
  readonly #refusals: number[];
  #ended = 0;

  constructor(options: JobOptions) {
    this.options = options;
    this.identifier = identifySubmission(options.submission);
    this.#tasks = options.submission.tasks.map(() => ({
      phase: TaskPhase.Waiting,
    }));
    this.#refusals = options.submission.tasks.map(() => 0);
  }

  /** Number of tasks. */
  get size(): number {
    return this.#tasks.length;
  }

  /** Phases of all tasks, in order. */
  get tasks(): readonly TaskState[] {
    return this.#tasks;
  }

  /** Whether every task has ended. */
  get isEveryTaskEnded(): boolean {
    return this.#ended === this.#tasks.length;
  }

  /** Whether any task is known to have started. */
  get isAnyTaskStarted(): boolean {
    return this.#tasks.some((task) =>
      task.phase === TaskPhase.Ended ||
      (task.phase === TaskPhase.Placed && task.isStarted)
    );
  }

  /** Whether any placed task may have started, without proof either way. */
  get isAnyTaskIndeterminate(): boolean {
    return this.#tasks.some((task) =>
      task.phase === TaskPhase.Placed && !task.isStarted
    );
  }

  /**
   * Returns the phase of a task.
   *
   * @throws {RangeError} when the job has no such task
   */
  taskAt(index: number): TaskState {
    const task = this.#tasks[index];
    if (task === undefined) throw new RangeError(`no such task: ${index}`);
    return task;
  }

  /** Returns an attempt number that neither this job nor an earlier job with its key has used. */
  nextAttempt(): number {
    return this.options.nextAttempt();
  }

  /**
   * Sets the phase of a task.
   *
   * @throws {InvariantError} when the task has ended already
   */
  setTask(index: number, state: TaskState): void {
    const before = this.taskAt(index);
    assertInvariant(
      before.phase !== TaskPhase.Ended,
      Invariant.NoSecondStart,
      () => `task ${index} of ${this.identifier} has ended already`,
    );
    this.#tasks[index] = state;
    if (state.phase === TaskPhase.Ended) this.#ended += 1;
  }

  /** Counts a refused placement of a task and returns the number of refusals so far. */
  countRefusal(index: number): number {
    const refusals = (this.#refusals[index] ?? 0) + 1;
    this.#refusals[index] = refusals;
    return refusals;
  }

  /**
   * Returns the outcome with all results.
   *
   * @throws {InvariantError} when a task has not succeeded
   */
  completedOutcome(): JobOutcome {
    const results = this.#tasks.map((task, index) => {
      const isComplete = task.phase === TaskPhase.Ended &&
        task.end.kind === TaskEndKind.Succeeded;
      assertInvariant(
        isComplete,
        Invariant.NoPartialAnswer,
        () => `task ${index} of ${this.identifier} is ${task.phase}`,
      );
      return task.end.result;
    });
    return { kind: JobOutcomeKind.Completed, results };
  }

  /** Returns the state of the job that is reported to callers. */
  state(): JobState {
    switch (this.phase) {
      case JobPhase.Active:
      case JobPhase.Cancelling:
        return this.isAnyTaskStarted || this.isAnyTaskIndeterminate
          ? JobState.Running
          : JobState.Waiting;
      case JobPhase.Answered:
        return JobState.Ended;
    }
  }
}
