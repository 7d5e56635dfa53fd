/**
 * What a runner records of a task. The record is made before the backend server is called, and is the
 * evidence by which a later owner knows what started.
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

/** Whoever waits for the answer to a placement. */
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

/** Waits for a slot; it has not started. */
export interface QueuedPhase {
  readonly phase: RecordPhase.Queued;
  readonly deadlineAt: Milliseconds;
}

/** Runs on the backend server. */
export interface RunningPhase {
  readonly phase: RecordPhase.Running;
  readonly startedAt: Milliseconds;
}

/** Ended, with its result. */
export interface EndedPhase {
  readonly phase: RecordPhase.Ended;
  readonly end: TaskEnd;
}

/** Ended long enough ago, or with so many others, that the result is no longer kept. */
export interface ResultDroppedPhase {
  readonly phase: RecordPhase.ResultDropped;
}

/** Phase of a task at a runner. */
export type TaskRecordPhase =
  | QueuedPhase
  | RunningPhase
  | EndedPhase
  | ResultDroppedPhase;

/** A task that a runner has accepted. */
export interface TaskRecord {
  readonly order: StartTask;
  readonly attempt: AttemptIdentifier;
  phase: TaskRecordPhase;
  waiters: Waiter[];
}

/** Returns the attempt that an order names. */
export function attemptOf(
  order: Pick<StartTask, "submission" | "taskIndex" | "epoch" | "attempt">,
): AttemptIdentifier {
  return attemptIdentifier(order);
}

/** Describes a started task for a later owner; undefined for one that has not started. */
export function describeStart(record: TaskRecord): StartRecord | undefined {
  const { order, phase } = record;
  const described = {
    shard: order.shard,
    submission: order.submission,
    digest: order.digest,
    taskIndex: order.taskIndex,
    epoch: order.epoch,
    attempt: order.attempt,
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
