/**
 * A job at its owner: the phase of each task, who waits for the outcome, and how the outcome follows
 * from the phases.
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

/** An entry that waits for the outcome. */
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

/** Waits at the owner. */
export interface WaitingTask {
  readonly phase: TaskPhase.Waiting;
}

/** Placed at a runner; it may or may not have started. */
export interface PlacedTask {
  readonly phase: TaskPhase.Placed;
  readonly runner: ProcessIdentifier;
  readonly attempt: number;
  readonly epoch: Epoch;
  /** True once the runner said that it started. */
  readonly isStarted: boolean;
}

/** Will never start. */
export interface WithdrawnTask {
  readonly phase: TaskPhase.Withdrawn;
}

/** Ran and ended. */
export interface EndedTask {
  readonly phase: TaskPhase.Ended;
  readonly end: TaskEnd;
}

/** Phase of a task at its owner. */
export type TaskState = WaitingTask | PlacedTask | WithdrawnTask | EndedTask;

/** Phases of a job. */
export enum JobPhase {
  Active = "active",
  /** No more tasks are placed; placed ones are being taken back. */
  Cancelling = "withdrawing",
  Answered = "answered",
}

/** What a job that is taken back is answered with, by whether any task had started. */
export interface JobCancellation {
  readonly failure: FailureReason;
  readonly notRun: NotRunReason;
}

/** What a job is made of. */
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

/** One job. */
export class Job {
  readonly options: JobOptions;
  readonly identifier: SubmissionIdentifier;
  readonly waiters: JobWaiter[] = [];
  phase: JobPhase = JobPhase.Active;
  /** Why the job is being taken back; meaningful while it is. */
  cancellation: JobCancellation = {
    failure: FailureReason.Cancelled,
    notRun: NotRunReason.Cancelled,
  };
  /** Outcome that is decided and waits until the owner may answer. */
  pendingOutcome: JobOutcome | undefined;
  /** Run time that the tasks have received. */
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

  /** The phases of all tasks, in order. */
  get tasks(): readonly TaskState[] {
    return this.#tasks;
  }

  /** Whether every task ended. */
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

  /** Whether a placed task may have started without proof either way. */
  get isAnyTaskIndeterminate(): boolean {
    return this.#tasks.some((task) =>
      task.phase === TaskPhase.Placed && !task.isStarted
    );
  }

  /** The phase of a task. */
  taskAt(index: number): TaskState {
    const task = this.#tasks[index];
    if (task === undefined) throw new RangeError(`no task ${index}`);
    return task;
  }

  /** Returns an attempt number that neither this job nor an earlier one of its key has used. */
  nextAttempt(): number {
    return this.options.nextAttempt();
  }

  /** Puts a task into a phase. */
  setTask(index: number, state: TaskState): void {
    const before = this.taskAt(index);
    assertInvariant(
      before.phase !== TaskPhase.Ended,
      Invariant.NoSecondStart,
      () => `task ${index} of ${this.identifier} had ended`,
    );
    this.#tasks[index] = state;
    if (state.phase === TaskPhase.Ended) this.#ended += 1;
  }

  /** Counts a refused placement of a task and returns how many there were. */
  countRefusal(index: number): number {
    const refusals = (this.#refusals[index] ?? 0) + 1;
    this.#refusals[index] = refusals;
    return refusals;
  }

  /** The complete outcome; call when every task ended successfully. */
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

  /** How the job stands for a caller. */
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
