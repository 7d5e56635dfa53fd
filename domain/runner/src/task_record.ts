/**
 * Record of a task at a runner. It is made before the call to the backend server, so that a later owner can
 * collect it and knows which tasks have started.
 */
import {
  type AttemptIdentifier,
  attemptIdentifier,
  type Milliseconds,
  type ProcessIdentifier,
  type RequestIdentifier,
  type StartRecord,
  type StartTask,
  type TaskEnd,
} from "@eelgrassfront/model";

/** A request that waits for the answer to a placement. */
export interface Waiter {
  readonly from: ProcessIdentifier;
  readonly request: RequestIdentifier;
}

/** Phases of a task at a runner. */
export enum RecordPhase {
  Queued = "queued",
  Running = "running",
  Ended = "ended",
  ResultDropped = "result-dropped",
}

/** The task waits for a slot and has not started. */
export interface QueuedPhase {
  readonly phase: RecordPhase.Queued;
  readonly deadlineAt: Milliseconds;
}

/** The task is running on the backend server. */
export interface RunningPhase {
  readonly phase: RecordPhase.Running;
  readonly startedAt: Milliseconds;
}

/** The task has ended; its result is kept. */
export interface EndedPhase {
  readonly phase: RecordPhase.Ended;
  readonly end: TaskEnd;
}

/** The task has ended; its result was dropped to keep within the byte limit. */
export interface ResultDroppedPhase {
  readonly phase: RecordPhase.ResultDropped;
}

/** Phase of a task with the data of the phase. */
export type TaskRecordPhase =
  | QueuedPhase
  | RunningPhase
  | EndedPhase
  | ResultDroppedPhase;

/** An accepted task, its phase, and the requests that wait for its end. */
export interface TaskRecord {
  readonly placement: StartTask;
  readonly attempt: AttemptIdentifier;
  phase: TaskRecordPhase;
  waiters: Waiter[];
}

/** Returns the identifier of the attempt that a placement or a cancellation names. */
export function attemptOf(
  placement: Pick<StartTask, "submission" | "taskIndex" | "epoch" | "attempt">,
): AttemptIdentifier {
  return attemptIdentifier(placement);
}

/** Returns the start record of a task for a later owner; undefined when the task has not started. */
export function toStartRecord(record: TaskRecord): StartRecord | undefined {
  const { placement, phase } = record;
  const described = {
    shard: placement.shard,
    submission: placement.submission,
    digest: placement.digest,
    taskIndex: placement.taskIndex,
    epoch: placement.epoch,
    attempt: placement.attempt,
  };
  switch (phase.phase) {
    case RecordPhase.Queued:
      return undefined;
    case RecordPhase.Running:
      return { ...described, isResultDropped: false };
    case RecordPhase.Ended:
      return { ...described, end: phase.end, isResultDropped: false };
    case RecordPhase.ResultDropped:
      return { ...described, isResultDropped: true };
  }
}
