/**
 * Counters and gauges. There is a counter for each refusal and retry reason.
 */
import type {
  FailureReason,
  NotRunReason,
  TaskRefusalReason,
  UnknownReason,
} from "./outcome.ts";
import type { PeerReplyKind, PeerRequestKind } from "./peer_message.ts";

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
}

/** Names of gauges. */
export enum Gauge {
  QueuedTasks = "tasks.queued",
  RunningTasks = "tasks.running",
  OwnedShards = "shards.owned",
  ConfigurationOffset = "configuration.offset",
  LogOffset = "log.offset",
  Members = "members",
}

/** Reason attached to a counter; for messages it is their kind. */
export type CountedReason =
  | FailureReason
  | NotRunReason
  | TaskRefusalReason
  | UnknownReason
  | RejectionReason
  | RetryReason
  | PeerRequestKind
  | PeerReplyKind;

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
