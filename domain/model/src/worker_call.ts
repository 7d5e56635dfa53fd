/**
 * Calls of a sidecar to its worker, the worker's answers, and the worker's description of itself.
 */
import type { JobTaskReference } from "./best_effort_job.ts";
import type { Milliseconds } from "./identifiers.ts";
import type { ProcessError } from "./process_error.ts";
import type { Resources } from "./resources.ts";

/**
 * One incarnation of a worker. The same identifier may appear again after a crash, with a later
 * `bornAt`.
 */
export interface WorkerIncarnation {
  readonly id: string;
  /** Wall-clock time at which this incarnation started, in Unix milliseconds. */
  readonly bornAt: Milliseconds;
}

/** Whether a worker accepts tasks. */
export enum WorkerPhase {
  Ready = "ready",
  /** The worker leaves soon and must get no new tasks. */
  Draining = "draining",
}

/** Description of itself that a worker sends with each report. */
export interface WorkerDescription {
  readonly incarnation: WorkerIncarnation;
  readonly service: string;
  /** Address for calls, as `host:port`. */
  readonly address: string;
  readonly phase: WorkerPhase;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Increases with each report of one incarnation. */
  readonly sequence: number;
  /** Reading of the worker's monotonic clock; absent in a saved description. */
  readonly clock?: Milliseconds;
  /** While draining: the minimum time that is left. */
  readonly remainingMilliseconds?: Milliseconds;
  /** Time for which the worker still runs tasks slowly after its start; absent when it does not. */
  readonly coldMilliseconds?: Milliseconds;
}

/** One run of a task on a worker. */
export interface RunReference {
  readonly task: JobTaskReference;
  /** Increases with each start of the task at this worker, from 1 and sometimes by more than 1. */
  readonly run: number;
}

/** Kinds of calls to a worker. */
export enum WorkerCallKind {
  Start = "start",
  Stop = "stop",
  /** Lists running and ended runs, and renews the lease of the running ones. */
  PollRuns = "hold",
  /** Checks whether the worker accepts tasks. */
  CheckHealth = "check-health",
}

/** Start a run. The worker refuses it after `leaseUntil`. */
export interface StartCall {
  readonly kind: WorkerCallKind.Start;
  readonly run: RunReference;
  readonly content: string;
  /** Time on the worker's clock until which all runs on the worker may continue. */
  readonly leaseUntil: Milliseconds;
}

/** Stop a run, or prevent the start of one whose start call has not arrived yet. */
export interface StopCall {
  readonly kind: WorkerCallKind.Stop;
  readonly run: RunReference;
}

/** List the runs and renew their lease. */
export interface PollRunsCall {
  readonly kind: WorkerCallKind.PollRuns;
  /** Absent: the lease stays unchanged. */
  readonly leaseUntil?: Milliseconds;
  /** The sidecar has recorded the ends up to this number; the worker may forget them. */
  readonly notedEnds: number;
  /** How long the worker may delay the answer until a run ends. */
  readonly waitMilliseconds: Milliseconds;
}

/**
 * Check the health: a worker that accepts tasks accepts the call; one that is leaving or unhealthy
 * refuses it.
 */
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

/** The end of a run, as listed by the worker. */
export interface RunEnd {
  readonly number: number;
  readonly run: RunReference;
  readonly kind: RunEndKind;
}

/** A run in progress, as listed by the worker. */
export interface ListedRun {
  readonly run: RunReference;
  /** Progress in percent, from 0 to 100. */
  readonly percent: number;
}

/** Kinds of a worker's answers. */
export enum WorkerAnswerKind {
  Accepted = "accepted",
  Refused = "refused",
  Listed = "listed",
  /** No usable answer: the worker may have carried out the call, or may still do so. */
  Unanswered = "missing",
  /** The call was not sent and will not be: it has no effect. The worker's process may run or not. */
  NotSent = "not-sent",
  /** Nothing listens at the worker's address, so the worker's process has ended. */
  ConnectionRefused = "gone",
}

/** Why a worker refused a call. A refused call has no effect. */
export enum WorkerRefusalReason {
  /** The fencing token is older than one that the worker has seen. */
  Fenced = "fenced",
  /** A run of the task with this number or a higher one has already ended there. */
  Superseded = "superseded",
  /** The call arrived after its deadline. */
  DeadlinePassed = "too-late",
  InsufficientCapacity = "no-room",
  Unhealthy = "unhealthy",
  /** Another incarnation of the worker listens at the address. */
  IncarnationMismatch = "other-incarnation",
  Invalid = "invalid",
}

/** The worker carried out the call. */
export interface CallAccepted {
  readonly kind: WorkerAnswerKind.Accepted;
  readonly clock?: Milliseconds;
}

/** The worker refused the call, which had no effect. */
export interface CallRefused {
  readonly kind: WorkerAnswerKind.Refused;
  readonly reason: WorkerRefusalReason;
  readonly clock?: Milliseconds;
}

/** Running and ended runs. */
export interface RunsListed {
  readonly kind: WorkerAnswerKind.Listed;
  readonly bornAt: Milliseconds;
  readonly clock: Milliseconds;
  readonly running: readonly ListedRun[];
  readonly ended: readonly RunEnd[];
}

/** No usable answer: it is not known whether the worker carried out the call. */
export interface CallUnanswered {
  readonly kind: WorkerAnswerKind.Unanswered;
  readonly error: ProcessError;
}

/**
 * The call was not sent: its connection broke or its timeout expired before anything of it was written, or the
 * incarnation that a start call is meant for did not confirm itself on the connection before. The error is that of
 * the connection or of the confirmation.
 */
export interface CallNotSent {
  readonly kind: WorkerAnswerKind.NotSent;
  readonly error: ProcessError;
}

/** The connection to the worker was refused, since its process has ended. */
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
  | CallNotSent
  | WorkerConnectionRefused;
