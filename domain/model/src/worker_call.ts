/**
 * Calls to the worker beside a sidecar, what it answers, and what it says of itself.
 */
import type { JobTaskReference } from "./best_effort_job.ts";
import type { Milliseconds } from "./identifiers.ts";
import type { ProcessError } from "./process_error.ts";
import type { Resources } from "./resources.ts";

/** One life of a worker. An identifier may come again after a crash, with a later birth. */
export interface WorkerIncarnation {
  readonly id: string;
  /** Time of day at which this life began, in Unix milliseconds. */
  readonly bornAt: Milliseconds;
}

/** Whether a worker takes work. */
export enum WorkerPhase {
  Ready = "ready",
  /** It leaves soon and must get no new work. */
  Draining = "draining",
}

/** What a worker says of itself with each heartbeat. */
export interface WorkerDescription {
  readonly incarnation: WorkerIncarnation;
  readonly service: string;
  /** Address for calls, as `host:port`. */
  readonly address: string;
  readonly phase: WorkerPhase;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Rises with each heartbeat of one life. */
  readonly sequence: number;
  /** The worker's own steady clock; absent when the description is not fresh. */
  readonly clock?: Milliseconds;
  /** While draining: the least time that is left. */
  readonly remainingMilliseconds?: Milliseconds;
}

/** One run of a task on a worker. */
export interface RunReference {
  readonly task: JobTaskReference;
  /** Numbers the starts of the task at this worker, from 1. */
  readonly run: number;
}

/** Kinds of calls to a worker. */
export enum WorkerCallKind {
  Start = "start",
  Stop = "stop",
  /** Renews the lease of everything that runs, and lists what runs and what has ended. */
  PollRuns = "hold",
  /** Asks whether the worker takes work. */
  CheckHealth = "check-health",
}

/** Start a run. The worker refuses it after `leaseUntil`. */
export interface StartCall {
  readonly kind: WorkerCallKind.Start;
  readonly run: RunReference;
  readonly content: string;
  /** Time on the worker's clock up to which everything there may run. */
  readonly leaseUntil: Milliseconds;
}

/** Stop a run, or keep one that has not arrived yet from starting. */
export interface StopCall {
  readonly kind: WorkerCallKind.Stop;
  readonly run: RunReference;
}

/** Renew and list. */
export interface PollRunsCall {
  readonly kind: WorkerCallKind.PollRuns;
  /** Absent: the lease is left as it is. */
  readonly leaseUntil?: Milliseconds;
  /** Ends up to this number are noted and may be forgotten. */
  readonly notedEnds: number;
  /** How long the answer may wait for a new end. */
  readonly waitMilliseconds: Milliseconds;
}

/** Ask for health: accepted by a worker that takes work, refused by one that leaves or is unwell. */
export interface CheckHealthCall {
  readonly kind: WorkerCallKind.CheckHealth;
  readonly path: string;
}

/** Any call to a worker. */
export type WorkerCall = StartCall | StopCall | PollRunsCall | CheckHealthCall;

/** How a run ended on its worker. */
export enum RunEndKind {
  Completed = "completed",
  Failed = "failed",
  Stopped = "stopped",
  LeaseExpired = "lease-expired",
}

/** An end that a worker lists. */
export interface RunEnd {
  readonly number: number;
  readonly run: RunReference;
  readonly kind: RunEndKind;
}

/** A run that a worker lists as running. */
export interface ListedRun {
  readonly run: RunReference;
  /** Share of the work done, from 0 to 100. */
  readonly percent: number;
}

/** Kinds of a worker's answers. */
export enum WorkerAnswerKind {
  Accepted = "accepted",
  Refused = "refused",
  Listed = "listed",
  /** No usable answer: the call may have been carried out, or may be later. */
  Unanswered = "missing",
  /** Nothing listens at the worker's address: the worker's process is gone. */
  ConnectionRefused = "gone",
}

/** Why a worker refused a call. Nothing was done. */
export enum WorkerRefusalReason {
  /** The fencing token is older than one that the worker has seen. */
  Fenced = "fenced",
  /** The run number is not above one that ended there. */
  Superseded = "superseded",
  /** The call arrived after its deadline. */
  DeadlinePassed = "too-late",
  InsufficientCapacity = "no-room",
  Unhealthy = "unhealthy",
  /** Another incarnation lives at the address. */
  IncarnationMismatch = "other-incarnation",
  Invalid = "invalid",
}

/** The worker did what it was told. */
export interface CallAccepted {
  readonly kind: WorkerAnswerKind.Accepted;
  readonly clock?: Milliseconds;
}

/** The worker did nothing. */
export interface CallRefused {
  readonly kind: WorkerAnswerKind.Refused;
  readonly reason: WorkerRefusalReason;
  readonly clock?: Milliseconds;
}

/** What runs and what has ended. */
export interface RunsListed {
  readonly kind: WorkerAnswerKind.Listed;
  readonly bornAt: Milliseconds;
  readonly clock: Milliseconds;
  readonly running: readonly ListedRun[];
  readonly ended: readonly RunEnd[];
}

/** No usable answer. */
export interface CallUnanswered {
  readonly kind: WorkerAnswerKind.Unanswered;
  readonly error: ProcessError;
}

/** The worker's process is gone. */
export interface WorkerConnectionRefused {
  readonly kind: WorkerAnswerKind.ConnectionRefused;
  readonly error: ProcessError;
}

/** Any answer of a worker. */
export type WorkerAnswer =
  | CallAccepted
  | CallRefused
  | RunsListed
  | CallUnanswered
  | WorkerConnectionRefused;
