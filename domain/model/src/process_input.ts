/**
 * Inputs of the state machines for work that runs at most once: every event that reaches a process
 * from outside.
 */
import type {
  AttemptIdentifier,
  CallerRequestIdentifier,
  LogOffset,
  Milliseconds,
  ProcessIdentifier,
  RequestIdentifier,
  SubmissionIdentifier,
} from "./identifiers.ts";
import type { BackendServerDescription, StoredRecord } from "./log_record.ts";
import type { RejectionReason } from "./metric.ts";
import type { TaskEnd } from "./outcome.ts";
import type { PeerReply, PeerRequest } from "./peer_message.ts";
import type { ProcessError } from "./process_error.ts";
import type { Submission } from "./submission.ts";

/** Kinds of inputs. */
export enum InputKind {
  SubmissionArrived = "submission-arrived",
  StatusRequested = "standing-asked",
  CancellationRequested = "cancellation-asked",
  CallerDisconnected = "caller-gone",
  RequestRejected = "request-rejected",
  PeerRequestArrived = "peer-request-arrived",
  PeerReplyArrived = "peer-reply-arrived",
  PeerRequestLost = "peer-request-lost",
  TaskExecutionEnded = "task-execution-ended",
  TaskNotSent = "task-not-sent",
  BackendServerDescribed = "backend-server-described",
  BackendServerUnreachable = "backend-server-unreachable",
  LogRecordsRead = "log-records-read",
  LogUnavailable = "log-unavailable",
  AppendConfirmed = "append-settled",
  AppendIndeterminate = "append-in-doubt",
  AlarmFired = "alarm-rang",
  DrainRequested = "drain-asked",
  ReportRequested = "report-asked",
}

/** A caller submitted a job and waits for its outcome. */
export interface SubmissionArrived {
  readonly kind: InputKind.SubmissionArrived;
  readonly request: CallerRequestIdentifier;
  readonly submission: Submission;
}

/** A caller requests the status of a job. */
export interface StatusRequested {
  readonly kind: InputKind.StatusRequested;
  readonly request: CallerRequestIdentifier;
  readonly submission: SubmissionIdentifier;
}

/** A caller cancels a job. */
export interface CancellationRequested {
  readonly kind: InputKind.CancellationRequested;
  readonly request: CallerRequestIdentifier;
  readonly submission: SubmissionIdentifier;
}

/** The caller closed its connection before the answer. */
export interface CallerDisconnected {
  readonly kind: InputKind.CallerDisconnected;
  readonly request: CallerRequestIdentifier;
}

/** A request was rejected, and answered, before it became an input. */
export interface RequestRejected {
  readonly kind: InputKind.RequestRejected;
  readonly reason: RejectionReason;
}

/** A request from another process, of the given message type. */
export interface IncomingRequest<Message> {
  readonly kind: InputKind.PeerRequestArrived;
  readonly from: ProcessIdentifier;
  readonly request: RequestIdentifier;
  readonly message: Message;
}

/** A reply from another process, of the given message type. */
export interface IncomingReply<Message> {
  readonly kind: InputKind.PeerReplyArrived;
  readonly from: ProcessIdentifier;
  readonly request: RequestIdentifier;
  readonly message: Message;
}

/** Another process sent a request. */
export type PeerRequestArrived = IncomingRequest<PeerRequest>;

/** Another process answered a request. */
export type PeerReplyArrived = IncomingReply<PeerReply>;

/** No reply will arrive. The request may or may not have had an effect. */
export interface PeerRequestLost {
  readonly kind: InputKind.PeerRequestLost;
  readonly peer: ProcessIdentifier;
  readonly request: RequestIdentifier;
  readonly error: ProcessError;
}

/** A task ended on the backend server, or the backend server's answer was lost. */
export interface TaskExecutionEnded {
  readonly kind: InputKind.TaskExecutionEnded;
  readonly attempt: AttemptIdentifier;
  readonly end: TaskEnd;
}

/** No connection to the backend server could be made, so the task never reached it. */
export interface TaskNotSent {
  readonly kind: InputKind.TaskNotSent;
  readonly attempt: AttemptIdentifier;
  readonly error: ProcessError;
}

/** The backend server sent its description. */
export interface BackendServerDescribed {
  readonly kind: InputKind.BackendServerDescribed;
  readonly description: BackendServerDescription;
}

/** The backend server does not answer. */
export interface BackendServerUnreachable {
  readonly kind: InputKind.BackendServerUnreachable;
  readonly error: ProcessError;
}

/** Records read from the log, in order. The list may be empty. */
export interface LogRecordsRead {
  readonly kind: InputKind.LogRecordsRead;
  readonly records: readonly StoredRecord[];
  /** Offsets of records that violate the protocol and are skipped. */
  readonly invalidOffsets?: readonly LogOffset[];
  /** Offset of the oldest record that the log still retains. */
  readonly firstRetained: LogOffset;
  /** Offset at which the next record will be read. */
  readonly nextOffset: LogOffset;
  /** True when the read reached the end of the log. */
  readonly isAtEnd: boolean;
  /** Local monotonic time at which the read began. */
  readonly readStartedAt: Milliseconds;
  /** The log's own clock at the time of the read. */
  readonly logClock: Milliseconds;
}

/** The log did not answer a read. */
export interface LogUnavailable {
  readonly kind: InputKind.LogUnavailable;
  readonly error: ProcessError;
}

/** An append took effect at this offset. */
export interface AppendConfirmed {
  readonly kind: InputKind.AppendConfirmed;
  readonly append: number;
  readonly offset: LogOffset;
}

/** An append may or may not have taken effect. */
export interface AppendIndeterminate {
  readonly kind: InputKind.AppendIndeterminate;
  readonly append: number;
  readonly error: ProcessError;
}

/** The time returned by `nextAlarm` has been reached. */
export interface AlarmFired {
  readonly kind: InputKind.AlarmFired;
}

/** An operator or a signal requests that the process leave. */
export interface DrainRequested {
  readonly kind: InputKind.DrainRequested;
}

/** An operator requests the report of the process. */
export interface ReportRequested {
  readonly kind: InputKind.ReportRequested;
  readonly request: RequestIdentifier;
}

/** Inputs from callers. */
export type CallerInput =
  | SubmissionArrived
  | StatusRequested
  | CancellationRequested
  | CallerDisconnected
  | RequestRejected;

/** Inputs from other processes. */
export type PeerInput = PeerRequestArrived | PeerReplyArrived | PeerRequestLost;

/** Inputs from the backend server. */
export type BackendServerInput =
  | TaskExecutionEnded
  | TaskNotSent
  | BackendServerDescribed
  | BackendServerUnreachable;

/** Inputs from the platform's log. */
export type PlatformLogInput =
  | LogRecordsRead
  | LogUnavailable
  | AppendConfirmed
  | AppendIndeterminate;

/** Inputs from operators. */
export type OperatorInput = DrainRequested | ReportRequested;

/** Any input. */
export type ProcessInput =
  | CallerInput
  | PeerInput
  | BackendServerInput
  | PlatformLogInput
  | OperatorInput
  | AlarmFired;
