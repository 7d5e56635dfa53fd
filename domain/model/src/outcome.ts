/**
 * Outcomes of jobs and tasks. A job is answered with exactly one outcome: completed with every
 * result, failed, not run, or unknown. There is no partial outcome.
 */
import type { Milliseconds, ProcessIdentifier } from "./identifiers.ts";
import type { Step } from "./process_error.ts";

/** How a job ends. */
export enum JobOutcomeKind {
  /** Every task succeeded; the results are complete and in order. */
  Completed = "completed",
  /** At least one task started and the job did not complete. */
  Failed = "failed",
  /** No task of the job started, and none will. */
  NotRun = "not-run",
  /** It cannot be proved whether tasks started or how they ended. */
  Unknown = "unknown",
}

/** Why a job failed after it had started. */
export enum FailureReason {
  TaskFailed = "task-failed",
  DeadlineExceeded = "deadline-exceeded",
  Cancelled = "cancelled",
  RetriesExhausted = "retries-exhausted",
  OwnerLeaving = "owner-leaving",
}

/** Why a job was refused without starting any task. */
export enum NotRunReason {
  QueueFull = "queue-full",
  DeadlineUnreachable = "deadline-unreachable",
  DeadlinePassed = "deadline-passed",
  QuotaExceeded = "quota-exceeded",
  ShareExceeded = "share-exceeded",
  NoCapableWorker = "no-capable-worker",
  RetriesExhausted = "retries-exhausted",
  UnknownKindOfWork = "unknown-kind-of-work",
  UnknownTeam = "unknown-team",
  Cancelled = "cancelled",
  OwnerLeaving = "owner-leaving",
}

/** Why the outcome of a job cannot be proved. */
export enum UnknownReason {
  StartRecordsMissing = "evidence-missing",
  TaskAnswerLost = "task-answer-lost",
  OwnerUnreachable = "owner-unreachable",
  AnswerExpired = "answer-expired",
}

/** Every task succeeded. */
export interface CompletedOutcome {
  readonly kind: JobOutcomeKind.Completed;
  /** One result for each task, in the order of the tasks. */
  readonly results: readonly string[];
}

/** The job started and did not complete. */
export interface FailedOutcome {
  readonly kind: JobOutcomeKind.Failed;
  readonly reason: FailureReason;
  /** The step at which the job failed. */
  readonly step: Step;
  readonly detail: string;
  readonly taskIndex?: number;
  readonly peer?: ProcessIdentifier;
}

/** No task of the job started. */
export interface NotRunOutcome {
  readonly kind: JobOutcomeKind.NotRun;
  readonly reason: NotRunReason;
  /** Time after which a new submission may succeed; absent when there is no estimate. */
  readonly retryAfterMilliseconds?: Milliseconds;
}

/** It cannot be proved whether or how the job ran. */
export interface UnknownOutcome {
  readonly kind: JobOutcomeKind.Unknown;
  readonly reason: UnknownReason;
  /** The step at which the outcome could no longer be proved. */
  readonly step: Step;
  readonly peer?: ProcessIdentifier;
}

/** The outcome of a job. */
export type JobOutcome =
  | CompletedOutcome
  | FailedOutcome
  | NotRunOutcome
  | UnknownOutcome;

/** How a task that started on a backend server ended. */
export enum TaskEndKind {
  Succeeded = "succeeded",
  Failed = "failed",
  /** The backend server's answer was lost, so that the effect of the task is not known. */
  Lost = "lost",
}

/** The task succeeded with this result. */
export interface TaskSucceeded {
  readonly kind: TaskEndKind.Succeeded;
  readonly result: string;
  readonly runMilliseconds: Milliseconds;
}

/** The backend server reported that the task failed. */
export interface TaskFailed {
  readonly kind: TaskEndKind.Failed;
  readonly detail: string;
  readonly runMilliseconds: Milliseconds;
}

/** The backend server's answer was lost. */
export interface TaskLost {
  readonly kind: TaskEndKind.Lost;
  readonly detail: string;
}

/** How a started task ended. */
export type TaskEnd = TaskSucceeded | TaskFailed | TaskLost;

/** Why a runner did not start a task. Each reason is proof that the attempt never starts. */
export enum TaskRefusalReason {
  Fenced = "fenced",
  QueueFull = "queue-full",
  /** The owner requested a free slot, and none is free. */
  SlotTaken = "slot-taken",
  Leaving = "leaving",
  Isolated = "isolated",
  DeadlinePassed = "deadline-passed",
  Cancelled = "cancelled",
  BackendServerUnavailable = "backend-server-unavailable",
  /** Another attempt of the same task is recorded at this runner. */
  TaskAlreadyRecorded = "task-already-recorded",
}
