/**
 * Names of counters, gauges and histograms. Refusals and retries are counted by reason.
 */
import type {
  DispatchReplyKind,
  DispatchRequestKind,
  InterruptionReason,
  NotStartedReason,
  SettlementKind,
} from "./dispatch_message.ts";
import type { GivenUpReason, JobRefusalReason } from "./dispatch_output.ts";
import type { WorkerCallKind, WorkerRefusalReason } from "./worker_call.ts";
import type {
  FailureReason,
  NotRunReason,
  TaskRefusalReason,
  UnknownReason,
} from "./outcome.ts";
import type { PeerReplyKind, PeerRequestKind } from "./peer_message.ts";

/** Names of histograms of durations. */
export enum Histogram {
  /** From submission to the answer, by kind of work. */
  JobDuration = "jobs.duration",
  /** From submission to the first task sent to a sidecar, by kind of work. */
  JobWait = "jobs.wait",
  /** From the start of a run to its end, by how it ended. */
  RunDuration = "runs.duration",
}

/** Names of counters. */
export enum Counter {
  JobsAccepted = "jobs.accepted",
  JobsAttached = "jobs.attached",
  JobsCompleted = "jobs.completed",
  JobsFailed = "jobs.failed",
  JobsNotRun = "jobs.not_run",
  JobsUnknown = "jobs.unknown",
  RequestsRejected = "requests.rejected",
  TasksStarted = "tasks.started",
  TasksRefused = "tasks.refused",
  TasksRetried = "tasks.retried",
  MessagesSent = "messages.sent",
  RequestsLost = "messages.lost",
  JobsRefused = "jobs.refused",
  JobsGivenUp = "jobs.given_up",
  JobsAbandoned = "jobs.abandoned",
  TasksSettled = "tasks.settled",
  TasksInterrupted = "tasks.interrupted",
  RunsRefused = "runs.refused",
  RunsDoubtful = "runs.doubtful",
  SessionsEnded = "sessions.ended",
  WorkerCallsMissing = "worker.calls_missing",
  WorkerCrashes = "worker.crashes",
  TasksSuspected = "tasks.suspected",
  JobsContested = "jobs.contested",
  ClaimsUnanswered = "claims.unanswered",
  ClientsRejected = "clients.rejected",
}

/** Names of gauges. */
export enum Gauge {
  QueuedTasks = "tasks.queued",
  RunningTasks = "tasks.running",
  OwnedShards = "shards.owned",
  ConfigurationOffset = "configuration.offset",
  ConfigurationVersion = "configuration.version",
  QueuedJobs = "jobs.queued",
  RunningJobs = "jobs.running",
  FreeMillicores = "worker.free_millicores",
  LogOffset = "log.offset",
  Members = "members",
  EvacuatedZones = "zones.evacuated",
}

/** Reason attached to a counter. The reason of a message counter is the kind of the message. */
export type CountedReason =
  | FailureReason
  | NotRunReason
  | TaskRefusalReason
  | UnknownReason
  | RejectionReason
  | RetryReason
  | PeerRequestKind
  | PeerReplyKind
  | DispatchRequestKind
  | DispatchReplyKind
  | JobRefusalReason
  | GivenUpReason
  | SettlementKind
  | NotStartedReason
  | InterruptionReason
  | WorkerRefusalReason
  | WorkerCallKind
  | SessionEndReason
  | JobFailureReason
  | ClaimFailureReason
  | ClientRejectionReason;

/** Why a best-effort job failed. */
export enum JobFailureReason {
  /** A task failed as often as its kind of work allows. */
  TaskFailed = "task-failed",
  /** Workers crashed under a task. */
  WorkersCrashed = "workers-crashed",
}

/** Why an arbiter did not decide on the claim of a job. */
export enum ClaimFailureReason {
  TimedOut = "timed-out",
  RequestLost = "request-lost",
  /** Another incarnation of the arbiter answered, or a process that decides on no claims. */
  NoArbiter = "no-arbiter",
}

/** Why an HTTP server refused a client or closed its connection. */
export enum ClientRejectionReason {
  TooManyConnections = "too-many-connections",
  TooManyConnectionsOfAddress = "too-many-connections-of-address",
  TooManyRequests = "too-many-requests",
  TooManyBodyBytes = "too-many-body-bytes",
  HeaderTooSlow = "header-too-slow",
  BodyTooSlow = "body-too-slow",
  UnreadResponses = "unread-responses",
}

/** Why a session between an entry and a sidecar ended. */
export enum SessionEndReason {
  Expired = "expired",
  GivenUp = "given-up",
  ProcessPaused = "process-paused",
}

/** Why a request was rejected before it became a submission. */
export enum RejectionReason {
  TooManyConnections = "too-many-connections",
  MalformedRequest = "malformed-request",
  HeadersTooLarge = "headers-too-large",
  HeadersTooSlow = "headers-too-slow",
  UnsupportedContentType = "unsupported-content-type",
  MalformedBody = "malformed-body",
  DuplicateField = "duplicate-field",
  BodyTooLarge = "body-too-large",
  BodyTooSlow = "body-too-slow",
  MissingIdempotencyKey = "missing-idempotency-key",
  InvalidIdempotencyKey = "invalid-idempotency-key",
  InvalidField = "invalid-field",
  TooManyTasks = "too-many-tasks",
  Unauthorized = "unauthorized",
  TeamNotAllowed = "team-not-allowed",
  KeyReused = "key-reused",
  NotFound = "not-found",
  MethodNotAllowed = "method-not-allowed",
  EntryLeaving = "entry-leaving",
  EntryNotReady = "entry-not-ready",
  EntryBusy = "entry-busy",
}

/** Why a request or task was sent again. */
export enum RetryReason {
  OwnerChanged = "owner-changed",
  OwnerLost = "owner-lost",
  RunnerRefused = "runner-refused",
  RunnerConnectionLost = "runner-connection-lost",
}
