/**
 * Outputs of the state machines for best-effort work.
 */
import type {
  DispatchReply,
  DispatchRequest,
  FleetMember,
} from "./dispatch_message.ts";
import type { Milliseconds, RequestIdentifier } from "./identifiers.ts";
import type { Histogram } from "./metric.ts";
import type {
  IncrementCounter,
  OutgoingReply,
  OutgoingRequest,
  RecordEvent,
  ReportReadiness,
  SetGauge,
  Stop,
} from "./process_output.ts";
import type {
  WorkerCall,
  WorkerDescription,
  WorkerIncarnation,
} from "./worker_call.ts";

/** Kinds of outputs that only best-effort work has. */
export enum DispatchOutputKind {
  AnswerClient = "answer-client",
  Announce = "announce",
  SaveWorker = "remember-worker",
  CallWorker = "call-worker",
  ObserveDuration = "observe-duration",
}

/** States of a job as its client sees them. */
export enum BestEffortJobState {
  Queued = "queued",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
}

/** Why a job was refused. A refused job has not run and never runs. */
export enum JobRefusalReason {
  /** No configuration is known yet. */
  Starting = "starting",
  Leaving = "leaving",
  /** So much work is queued that the job cannot start in time. */
  Overloaded = "overloaded",
  /** The job waited past the time at which it could still meet its latency objective. */
  WaitedTooLong = "waited-too-long",
  /** At least one task of the job is one that no known worker could ever run. */
  NoCapableWorker = "no-capable-worker",
  /** Every known worker that could run some task of the job is in an evacuated availability zone. */
  ZonesEvacuated = "zones-evacuated",
  Unsupported = "unsupported",
}

/** Why a job that may have run has no known outcome. */
export enum GivenUpReason {
  DeadlinePassed = "deadline-passed",
  Leaving = "leaving",
  /** The client has submitted the job again through another entry, which runs it. */
  Resubmitted = "resubmitted",
  /** Workers have crashed under it again and again, and nothing shows whether it is the cause. */
  WorkersCrashed = "workers-crashed",
}

/** Kinds of answers to client accounts. */
export enum ClientAnswerKind {
  Ended = "ended",
  State = "state",
  Pending = "pending",
  Refused = "refused",
  GivenUp = "given-up",
  NoSuchRoute = "no-such-route",
  NoSuchJob = "no-such-job",
  Cancelled = "cancelled",
  Malformed = "malformed",
}

/** The job has ended. */
export interface EndedAnswer {
  readonly kind: ClientAnswerKind.Ended;
  readonly state: BestEffortJobState.Completed | BestEffortJobState.Failed;
}

/** The current state of the job. */
export interface StateAnswer {
  readonly kind: ClientAnswerKind.State;
  readonly state: BestEffortJobState;
}

/** Number of jobs of the route that have not started. */
export interface PendingAnswer {
  readonly kind: ClientAnswerKind.Pending;
  readonly count: number;
}

/** The job has not run and never runs. */
export interface RefusedAnswer {
  readonly kind: ClientAnswerKind.Refused;
  readonly reason: JobRefusalReason;
  readonly retryAfterMilliseconds?: Milliseconds;
}

/** The job may have run in part. Tasks that are still running are being cancelled. */
export interface GivenUpAnswer {
  readonly kind: ClientAnswerKind.GivenUp;
  readonly reason: GivenUpReason;
}

/** No route of the configuration in force matches the request. */
export interface NoSuchRouteAnswer {
  readonly kind: ClientAnswerKind.NoSuchRoute;
}

/** The job is not known. */
export interface NoSuchJobAnswer {
  readonly kind: ClientAnswerKind.NoSuchJob;
}

/** The job was cancelled. */
export interface CancelledAnswer {
  readonly kind: ClientAnswerKind.Cancelled;
}

/** The request cannot be parsed. */
export interface MalformedAnswer {
  readonly kind: ClientAnswerKind.Malformed;
  readonly detail: string;
}

/** Any answer to a client account. */
export type ClientAnswer =
  | EndedAnswer
  | StateAnswer
  | PendingAnswer
  | RefusedAnswer
  | GivenUpAnswer
  | NoSuchRouteAnswer
  | NoSuchJobAnswer
  | CancelledAnswer
  | MalformedAnswer;

/** Answer a client's request, once. */
export interface AnswerClient {
  readonly kind: DispatchOutputKind.AnswerClient;
  readonly request: RequestIdentifier;
  readonly answer: ClientAnswer;
  /**
   * Whether to close the connection after this answer, so that the client turns to another entry.
   */
  readonly isLast: boolean;
}

/** Store the member record of this process in the platform's store. */
export interface Announce {
  readonly kind: DispatchOutputKind.Announce;
  readonly member: FleetMember;
}

/**
 * Save the description of this sidecar's worker in the platform's store, for the next incarnation of the
 * sidecar.
 */
export interface SaveWorker {
  readonly kind: DispatchOutputKind.SaveWorker;
  readonly description: WorkerDescription;
}

/** Call this sidecar's worker. */
export interface CallWorker {
  readonly kind: DispatchOutputKind.CallWorker;
  readonly call: RequestIdentifier;
  readonly worker: WorkerIncarnation["id"];
  /** Start time of the intended incarnation, which alone may execute a start call. */
  readonly bornAt: WorkerIncarnation["bornAt"];
  readonly address: string;
  readonly fencingToken: number;
  readonly request: WorkerCall;
  /** Time after which the call counts as unanswered. */
  readonly timeoutMilliseconds: Milliseconds;
}

/** Add a duration to a histogram. */
export interface ObserveDuration {
  readonly kind: DispatchOutputKind.ObserveDuration;
  readonly histogram: Histogram;
  readonly label: string;
  readonly milliseconds: Milliseconds;
}

/** Any output of best-effort work. */
export type DispatchOutput =
  | AnswerClient
  | Announce
  | SaveWorker
  | CallWorker
  | ObserveDuration
  | OutgoingRequest<DispatchRequest>
  | OutgoingReply<DispatchReply>
  | RecordEvent
  | IncrementCounter
  | SetGauge
  | ReportReadiness
  | Stop;
