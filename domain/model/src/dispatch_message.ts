/**
 * Messages between entries and sidecars for best-effort work. Every request is idempotent at its
 * receiver. A sidecar grants each entry a numbered session; work of a session ends with it.
 */
import type { JobTaskReference } from "./best_effort_job.ts";
import type { Milliseconds, ProcessIdentifier } from "./identifiers.ts";
import type { Role } from "./log_record.ts";
import type { IncarnationMismatch } from "./peer_message.ts";
import type { Resources } from "./resources.ts";
import type { WorkConfiguration } from "./work_configuration.ts";

/** Number of a session between one entry and one run of a sidecar; it rises. */
export type SessionNumber = number;

/** Kinds of requests. */
export enum DispatchRequestKind {
  OpenSession = "open-session",
  RenewSession = "renew-session",
  RunTask = "run-task",
  CancelTaskAttempt = "take-back-task",
  WatchLoad = "watch-load",
  ExchangeFleetState = "share-knowledge",
}

/** An entry asks for a new session. The work of an earlier one is stopped first. */
export interface OpenSession {
  readonly kind: DispatchRequestKind.OpenSession;
  /** The newest session that the entry has given up; 0 for none. */
  readonly givenUp: SessionNumber;
}

/** An entry keeps its session alive. */
export interface RenewSession {
  readonly kind: DispatchRequestKind.RenewSession;
  readonly session: SessionNumber;
}

/**
 * An entry has a task run. It starts at once or is given back, so that it can be placed where there is
 * room. A repeated request attaches to the attempt that is already there.
 */
export interface RunTask {
  readonly kind: DispatchRequestKind.RunTask;
  readonly session: SessionNumber;
  readonly task: JobTaskReference;
  /** Numbers the entry's attempts at the task. */
  readonly attempt: number;
  readonly content: string;
  readonly resources: Resources;
  /** Run time that the entry has learnt for this kind of work, against which progress is measured. */
  readonly expectedMilliseconds: Milliseconds;
}

/** An entry takes a task back, whether it waits or runs. */
export interface CancelTaskAttempt {
  readonly kind: DispatchRequestKind.CancelTaskAttempt;
  readonly session: SessionNumber;
  readonly task: JobTaskReference;
  readonly attempt: number;
}

/** An entry asks to be told when the load is another than the one it knows. */
export interface WatchLoad {
  readonly kind: DispatchRequestKind.WatchLoad;
  readonly knownRevision: number;
  /** Shortest time between two answers: an entry whose jobs wait wants to hear sooner. */
  readonly intervalMilliseconds: Milliseconds;
}

/** A member of the fleet. */
export interface FleetMember {
  readonly process: ProcessIdentifier;
  readonly role: Role;
  /** Address for peers, as `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** What a process knows of the fleet and of the configuration. */
export interface FleetState {
  readonly configuration?: WorkConfiguration;
  readonly members: readonly FleetMember[];
}

/** A process tells a peer what it knows and hears what the peer knows. */
export interface ExchangeFleetState {
  readonly kind: DispatchRequestKind.ExchangeFleetState;
  readonly sender: FleetMember;
  /** Version of the configuration in force at the sender; 0 for none. */
  readonly configurationVersion: number;
  /** Present when the sender has just taken a newer version. */
  readonly configuration?: WorkConfiguration;
}

/** Any request between entries and sidecars. */
export type DispatchRequest =
  | OpenSession
  | RenewSession
  | RunTask
  | CancelTaskAttempt
  | WatchLoad
  | ExchangeFleetState;

/** What stays the same over one life of a worker. */
export interface WorkerProfile {
  readonly worker: string;
  readonly service: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
}

/** Load of the worker beside a sidecar. */
export interface WorkerLoad {
  /** Rises with each change, within one run of the sidecar. */
  readonly revision: number;
  readonly worker: string;
  /** What accepted work leaves. */
  readonly free: Resources;
  /** Time that tasks take here, as a multiple of what their entries expected; 1 while nothing is known. */
  readonly slowness: number;
  readonly isTakingWork: boolean;
  /** Requests of the asking entry to run tasks, in its session, that this load takes into account. */
  readonly requestsTaken: number;
}

/** Why a task did not start. Each is proof that the attempt never will. */
export enum NotStartedReason {
  StaleSession = "stale-session",
  Draining = "draining",
  Leaving = "leaving",
  NoWorker = "no-worker",
  ExceedsCapacity = "too-large",
  /** Others have the room. */
  InsufficientCapacity = "no-room",
  Cancelled = "taken-back",
  WorkerRefused = "worker-refused",
  WorkerUnresponsive = "worker-silent",
}

/** Why a run ended without an outcome of its own. */
export enum InterruptionReason {
  Cancelled = "taken-back",
  LeaseExpired = "lease-expired",
  SessionEnded = "session-ended",
  WorkerLost = "worker-lost",
  NoProgress = "no-progress",
  /** The entry lost its session with the sidecar; what ran there ends by itself. */
  SidecarLost = "sidecar-lost",
}

/** Kinds of settlements. */
export enum SettlementKind {
  Completed = "completed",
  Failed = "failed",
  NotStarted = "not-started",
  Interrupted = "interrupted",
}

/** The task completed. */
export interface CompletedSettlement {
  readonly kind: SettlementKind.Completed;
  readonly runMilliseconds: Milliseconds;
}

/** The task ran and failed. */
export interface FailedSettlement {
  readonly kind: SettlementKind.Failed;
  readonly runMilliseconds: Milliseconds;
}

/** The task did not start and never will under this attempt. */
export interface NotStartedSettlement {
  readonly kind: SettlementKind.NotStarted;
  readonly reason: NotStartedReason;
}

/** The task ran and was ended from outside. It runs no more. */
export interface InterruptedSettlement {
  readonly kind: SettlementKind.Interrupted;
  readonly reason: InterruptionReason;
}

/** How an attempt ended. */
export type TaskSettlement =
  | CompletedSettlement
  | FailedSettlement
  | NotStartedSettlement
  | InterruptedSettlement;

/** Kinds of replies. */
export enum DispatchReplyKind {
  SessionGranted = "session-granted",
  SessionPending = "session-pending",
  TaskSettled = "task-settled",
  CancellationAcknowledged = "take-back-noted",
  LoadReported = "load-told",
  FleetStateExchanged = "knowledge-shared",
  Misdirected = "misdirected",
}

/** The session is open; no work of an earlier one runs. */
export interface SessionGranted {
  readonly kind: DispatchReplyKind.SessionGranted;
  readonly session: SessionNumber;
  /** Absent while no worker is known. */
  readonly profile?: WorkerProfile;
  readonly load?: WorkerLoad;
}

/** Work of an earlier session is still being stopped, or the worker is not known yet. */
export interface SessionPending {
  readonly kind: DispatchReplyKind.SessionPending;
}

/** An attempt has ended. */
export interface TaskSettled {
  readonly kind: DispatchReplyKind.TaskSettled;
  readonly settlement: TaskSettlement;
  readonly load?: WorkerLoad;
}

/** The task is being taken back; its settlement follows on its own request. */
export interface CancellationAcknowledged {
  readonly kind: DispatchReplyKind.CancellationAcknowledged;
}

/** The load as it is now. */
export interface LoadReported {
  readonly kind: DispatchReplyKind.LoadReported;
  readonly load?: WorkerLoad;
}

/** What the receiver knows; the configuration only where it is newer than the sender's. */
export interface FleetStateExchanged {
  readonly kind: DispatchReplyKind.FleetStateExchanged;
  readonly knowledge: FleetState;
}

/** The request does not fit the role of its receiver. */
export interface Misdirected {
  readonly kind: DispatchReplyKind.Misdirected;
}

/** Any reply between entries and sidecars. */
export type DispatchReply =
  | SessionGranted
  | SessionPending
  | TaskSettled
  | CancellationAcknowledged
  | LoadReported
  | FleetStateExchanged
  | Misdirected
  | IncarnationMismatch;
