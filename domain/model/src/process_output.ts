/**
 * Outputs of the state machines for work that runs at most once: every action that a process
 * requests from its adapters.
 */
import type {
  AttemptIdentifier,
  CallerRequestIdentifier,
  Epoch,
  LogOffset,
  ProcessIdentifier,
  RequestIdentifier,
} from "./identifiers.ts";
import type { ProcessEvent } from "./event.ts";
import type { ConfigurationVersion, LogRecord } from "./log_record.ts";
import type {
  CountedReason,
  Counter,
  Gauge,
  RejectionReason,
} from "./metric.ts";
import type { JobOutcome } from "./outcome.ts";
import type { JobStatus, PeerReply, PeerRequest } from "./peer_message.ts";
import type { ProcessReport } from "./process_report.ts";
import type { TaskDescription } from "./submission.ts";

/** Kinds of outputs. */
export enum OutputKind {
  AnswerCaller = "answer-caller",
  AnswerOperator = "answer-operator",
  SendRequest = "send-request",
  SendReply = "send-reply",
  ExecuteTask = "execute-task",
  AppendRecord = "append-record",
  RecordEvent = "record-event",
  IncrementCounter = "count-occurrence",
  SetGauge = "set-gauge",
  ReportReadiness = "report-readiness",
  ApplyConfiguration = "apply-configuration",
  Stop = "stop",
}

/** Kinds of answers to callers. */
export enum CallerAnswerKind {
  Outcome = "outcome",
  Status = "standing",
  Rejection = "rejection",
}

/** The outcome of a submission. */
export interface OutcomeAnswer {
  readonly kind: CallerAnswerKind.Outcome;
  readonly outcome: JobOutcome;
}

/** The status of a job. */
export interface StatusAnswer {
  readonly kind: CallerAnswerKind.Status;
  readonly standing: JobStatus;
}

/**
 * The request was rejected before it became a submission. The answer says nothing about earlier
 * submissions.
 */
export interface RejectionAnswer {
  readonly kind: CallerAnswerKind.Rejection;
  readonly reason: RejectionReason;
  readonly detail: string;
}

/** Any answer to a caller. */
export type CallerAnswer = OutcomeAnswer | StatusAnswer | RejectionAnswer;

/** Answer a caller's request, once. */
export interface AnswerCaller {
  readonly kind: OutputKind.AnswerCaller;
  readonly request: CallerRequestIdentifier;
  readonly answer: CallerAnswer;
  /** Token for later submissions: newest log offset up to which no claim is waiting for its grant. */
  readonly epochToken: Epoch;
}

/** Answer an operator's request, once. */
export interface AnswerOperator {
  readonly kind: OutputKind.AnswerOperator;
  readonly request: RequestIdentifier;
  readonly report: ProcessReport;
}

/** Send a request of the given message type to another process. */
export interface OutgoingRequest<Message> {
  readonly kind: OutputKind.SendRequest;
  readonly request: RequestIdentifier;
  readonly peer: ProcessIdentifier;
  readonly address: string;
  readonly message: Message;
}

/** Reply to a request of another process with the given message type. */
export interface OutgoingReply<Message> {
  readonly kind: OutputKind.SendReply;
  readonly to: ProcessIdentifier;
  readonly request: RequestIdentifier;
  readonly message: Message;
}

/** Send a request to another process. */
export type SendRequest = OutgoingRequest<PeerRequest>;

/** Reply to a request of another process. */
export type SendReply = OutgoingReply<PeerReply>;

/** Start a task on the backend server. */
export interface ExecuteTask {
  readonly kind: OutputKind.ExecuteTask;
  readonly attempt: AttemptIdentifier;
  readonly kindOfWork: string;
  readonly task: TaskDescription;
}

/** Append a record to the platform's log. */
export interface AppendRecord {
  readonly kind: OutputKind.AppendRecord;
  readonly append: number;
  readonly record: LogRecord;
}

/** Write a numbered event to the log of the process. */
export interface RecordEvent {
  readonly kind: OutputKind.RecordEvent;
  readonly event: ProcessEvent;
}

/** Increment a counter by 1. */
export interface IncrementCounter {
  readonly kind: OutputKind.IncrementCounter;
  readonly counter: Counter;
  readonly reason?: CountedReason;
}

/** Set a gauge. */
export interface SetGauge {
  readonly kind: OutputKind.SetGauge;
  readonly gauge: Gauge;
  readonly value: number;
}

/** Report to the load balancer whether this process accepts new work. */
export interface ReportReadiness {
  readonly kind: OutputKind.ReportReadiness;
  readonly isReady: boolean;
}

/** Informs observers that a version came into force; the state machine applies the version itself. */
export interface ApplyConfiguration {
  readonly kind: OutputKind.ApplyConfiguration;
  readonly version: ConfigurationVersion;
  readonly logOffset: LogOffset;
}

/** End the process with this exit code. */
export interface Stop {
  readonly kind: OutputKind.Stop;
  readonly exitCode: number;
}

/** Any output. */
export type ProcessOutput =
  | AnswerCaller
  | AnswerOperator
  | SendRequest
  | SendReply
  | ExecuteTask
  | AppendRecord
  | RecordEvent
  | IncrementCounter
  | SetGauge
  | ReportReadiness
  | ApplyConfiguration
  | Stop;
