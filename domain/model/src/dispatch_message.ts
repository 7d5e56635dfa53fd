/**
 * Requests and replies between entries and sidecars for best-effort work. Every request is
 * idempotent at its receiver. A sidecar grants each entry a numbered session; the work of a session
 * ends with the session.
 */
import type { JobTaskReference } from "./best_effort_job.ts";
import type { CrashProof, CrashSuspect } from "./crash_suspect.ts";
import type { EvacuationState } from "./evacuation.ts";
import type { Milliseconds, ProcessIdentifier } from "./identifiers.ts";
import type { Role } from "./log_record.ts";
import type { IncarnationMismatch } from "./peer_message.ts";
import type { Resources } from "./resources.ts";
import type { WorkConfiguration } from "./work_configuration.ts";
import type { WorkerRequirements } from "./worker_requirements.ts";

/**
 * Longest time for which a session lasts after the sidecar sent the latest reply that the entry has. An entry
 * thus knows when a session has ended, however long its renewals were on their way.
 */
export const MAXIMUM_SESSION_MILLISECONDS: Milliseconds = 800;

/** Number of a session between an entry and an incarnation of a sidecar; later sessions have higher ones. */
export type SessionNumber = number;

/** Kinds of requests. */
export enum DispatchRequestKind {
  OpenSession = "open-session",
  RenewSession = "renew-session",
  RunTask = "run-task",
  CancelTaskAttempt = "take-back-task",
  WatchLoad = "watch-load",
  ExchangeFleetState = "share-knowledge",
  ReportCrash = "report-crash",
  ClaimJob = "claim-job",
  YieldJob = "yield-job",
  LocateJob = "locate-job",
  CancelHeldJob = "cancel-held-job",
}

/**
 * An entry requests a session. The sidecar opens a new one only after all work of the entry's
 * earlier sessions has stopped.
 */
export interface OpenSession {
  readonly kind: DispatchRequestKind.OpenSession;
  /** Newest session that the entry has given up; 0 for none. */
  readonly givenUp: SessionNumber;
}

/** An entry renews its session before it expires. */
export interface RenewSession {
  readonly kind: DispatchRequestKind.RenewSession;
  readonly session: SessionNumber;
  /** Worker whose profile the entry has; absent if it has none. The reply leaves out what the entry knows. */
  readonly knownWorker?: string;
  /** Revision of the profile that the entry has. */
  readonly knownProfile?: number;
  /** Revision of the load that the entry has. */
  readonly knownRevision?: number;
  /** Sidecar's clock in the latest reply that the entry has; entries of earlier versions leave it out. */
  readonly knownClock?: Milliseconds;
  /** Evacuated zones, where they have changed since the session last carried them. */
  readonly evacuations?: EvacuationState;
}

/**
 * An entry sends a task to run. The sidecar starts the task at once or returns it, so that the
 * entry can place it where capacity is free. A repeated request attaches to the existing attempt.
 */
export interface RunTask {
  readonly kind: DispatchRequestKind.RunTask;
  readonly session: SessionNumber;
  readonly task: JobTaskReference;
  /** Number of this attempt; no other attempt of the entry has the same number. */
  readonly attempt: number;
  readonly content: string;
  readonly resources: Resources;
  /**
   * What the task requires of the worker, which may have been replaced since the entry got its profile. Entries of
   * earlier versions leave it out.
   */
  readonly requirements?: WorkerRequirements;
  /** The entry's estimate of the run time. Progress is measured against it. */
  readonly expectedMilliseconds: Milliseconds;
  /** Kind of work of a task that is suspected to crash workers and therefore runs apart from other jobs. */
  readonly suspectRoute?: string;
  /** Kind of work of the task; absent from entries of earlier versions. */
  readonly workKind?: string;
}

/** An entry cancels a task attempt, whether it is waiting or running. */
export interface CancelTaskAttempt {
  readonly kind: DispatchRequestKind.CancelTaskAttempt;
  readonly session: SessionNumber;
  readonly task: JobTaskReference;
  readonly attempt: number;
}

/** The task that an entry would place first, and the urgency of its job. */
export interface WaitingDemand {
  readonly resources: Resources;
  /** Priority of the kind of work; 0 is the most urgent. */
  readonly priority: number;
  /** Whether other tasks of the job have started. */
  readonly hasStarted: boolean;
  /** Time until the job must start to meet its objective. */
  readonly slackMilliseconds: Milliseconds;
  /** Whether the job can no longer meet its objective; absent from earlier versions. */
  readonly isLate?: boolean;
  /** Work of the job for each of its callers, in millicores times milliseconds; absent from earlier versions. */
  readonly workPerCaller?: number;
}

/**
 * An entry with waiting jobs subscribes to the load. The sidecar replies once it offers free
 * capacity to the entry.
 */
export interface WatchLoad {
  readonly kind: DispatchRequestKind.WatchLoad;
  readonly knownRevision: number;
  /** Shortest time between two replies to the entry. */
  readonly intervalMilliseconds: Milliseconds;
  readonly demand: WaitingDemand;
}

/** A member of the fleet. */
export interface FleetMember {
  readonly process: ProcessIdentifier;
  readonly role: Role;
  /** Address for peers, as `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** What one process knows of members and configuration, as far as the receiver may not know it. */
export interface FleetState {
  readonly configuration?: WorkConfiguration;
  readonly members: readonly FleetMember[];
  /** Evacuated zones, where the receiver's offset is lower. */
  readonly evacuations?: EvacuationState;
}

/**
 * A process announces itself and its configuration version to a peer, and gets the peer's fleet
 * state in return.
 */
export interface ExchangeFleetState {
  readonly kind: DispatchRequestKind.ExchangeFleetState;
  readonly sender: FleetMember;
  /** Version of the configuration in force at the sender; 0 for none. */
  readonly configurationVersion: number;
  /** Digest of the members that the sender knows. */
  readonly membersDigest: number;
  /** Offset of the evacuated zones that the sender knows; absent while it knows of no evacuation, past or present. */
  readonly evacuationOffset?: number;
  /**
   * The receiver adopts this version if it is newer. Senders leave the field out: a receiver that is
   * behind requests the version itself.
   */
  readonly configuration?: WorkConfiguration;
}

/**
 * A sidecar tells the entries that it serves which tasks of other entries may have crashed its worker. Without
 * suspects, no run explains the crash.
 */
export interface ReportCrash {
  readonly kind: DispatchRequestKind.ReportCrash;
  readonly suspects: readonly CrashSuspect[];
}

/**
 * An entry asks another one, the arbiter of the job, for the right to run it: a client may have submitted the job
 * through several entries.
 */
export interface ClaimJob {
  readonly kind: DispatchRequestKind.ClaimJob;
  readonly job: string;
  /** Address for peers of the entry that claims the job. */
  readonly address: string;
  /** Time since the entry accepted the job. */
  readonly ageMilliseconds: Milliseconds;
  /** Time after which no run of the job that the entry has placed can be left. */
  readonly lifetimeMilliseconds: Milliseconds;
}

/** The arbiter of a job asks the entry that runs it to end it there, because another entry claims it. */
export interface YieldJob {
  readonly kind: DispatchRequestKind.YieldJob;
  readonly job: string;
  /** Time since the other entry accepted the job. */
  readonly ageMilliseconds: Milliseconds;
}

/** An entry asks the arbiter of a job which entry holds the job. */
export interface LocateJob {
  readonly kind: DispatchRequestKind.LocateJob;
  readonly job: string;
}

/** An entry through which a client has cancelled a job asks the job's holder to cancel it. */
export interface CancelHeldJob {
  readonly kind: DispatchRequestKind.CancelHeldJob;
  readonly job: string;
}

/** Any request between entries and sidecars. */
export type DispatchRequest =
  | OpenSession
  | RenewSession
  | RunTask
  | CancelTaskAttempt
  | WatchLoad
  | ExchangeFleetState
  | ReportCrash
  | ClaimJob
  | YieldJob
  | LocateJob
  | CancelHeldJob;

/** Properties of a worker that seldom change. */
export interface WorkerProfile {
  /** Increases with each change within one incarnation of the sidecar; absent from older versions. */
  readonly revision?: number;
  readonly worker: string;
  readonly service: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
}

/** Load of a sidecar's worker. */
export interface WorkerLoad {
  /** Increases with each change within one incarnation of the sidecar. */
  readonly revision: number;
  readonly worker: string;
  /** Resources that accepted tasks leave free. */
  readonly free: Resources;
  /**
   * Run time of tasks on this worker as a multiple of their entries' estimates; 1 while there is no
   * observation.
   */
  readonly slowness: number;
  readonly isTakingWork: boolean;
  /** Present while the worker runs tasks slowly after its zone was restored. */
  readonly isCold?: true;
  /** Number of the entry's requests to run tasks, in its current session, that this load includes. */
  readonly requestsTaken: number;
  /**
   * Demands of other entries that wait for this worker, by priority; absent while none waits, and from earlier
   * versions.
   */
  readonly waiting?: readonly WaitingTotal[];
}

/** Demand of one priority that waits for a worker. */
export interface WaitingTotal {
  readonly priority: number;
  readonly millicores: number;
}

/** Why a task attempt did not start. Each reason is proof that the attempt never starts. */
export enum NotStartedReason {
  StaleSession = "stale-session",
  Draining = "draining",
  Leaving = "leaving",
  NoWorker = "no-worker",
  ExceedsCapacity = "too-large",
  /** The worker lacks a property that the task requires; another one had it when the task was placed. */
  UnsuitableWorker = "unsuitable-worker",
  /** Other tasks use the capacity. */
  InsufficientCapacity = "no-room",
  Cancelled = "taken-back",
  WorkerRefused = "worker-refused",
  WorkerUnresponsive = "worker-silent",
  /** A task that may crash the worker runs apart there. */
  Reserved = "reserved",
  /** The operators have evacuated the availability zone. */
  ZoneEvacuated = "zone-evacuated",
}

/** Why a run ended before the task completed or failed. */
export enum InterruptionReason {
  Cancelled = "taken-back",
  LeaseExpired = "lease-expired",
  SessionEnded = "session-ended",
  /** The worker left as announced, or its list no longer contains a run that was not to be stopped. */
  WorkerLost = "worker-lost",
  /** The worker ended without notice, perhaps because of this task. */
  WorkerCrashed = "worker-crashed",
  /** The worker ended without notice, more likely because of another task. */
  BesideCrash = "beside-crash",
  NoProgress = "no-progress",
  /**
   * The entry lost its session with the sidecar. The tasks that ran there end without a request of
   * the entry.
   */
  SidecarLost = "sidecar-lost",
}

/** Ways in which a task attempt ends. */
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

/** The task did not start and never starts under this attempt. */
export interface NotStartedSettlement {
  readonly kind: SettlementKind.NotStarted;
  readonly reason: NotStartedReason;
}

/** The task ran and was interrupted from outside. It no longer runs. */
export interface InterruptedSettlement {
  readonly kind: SettlementKind.Interrupted;
  readonly reason: InterruptionReason;
  /** What is known of the run if its worker crashed; sidecars of earlier versions do not say it. */
  readonly proof?: CrashProof;
}

/** How a task attempt ended. */
export type TaskSettlement =
  | CompletedSettlement
  | FailedSettlement
  | NotStartedSettlement
  | InterruptedSettlement;

/** Kinds of replies. */
export enum DispatchReplyKind {
  SessionGranted = "session-granted",
  SessionRenewed = "session-renewed",
  SessionPending = "session-pending",
  TaskSettled = "task-settled",
  CancellationAcknowledged = "take-back-noted",
  LoadReported = "load-told",
  FleetStateExchanged = "knowledge-shared",
  Misdirected = "misdirected",
  CrashNoted = "crash-noted",
  JobClaimed = "job-claimed",
  JobHeld = "job-held",
  JobYielded = "job-yielded",
  JobLocated = "job-located",
  JobCancelled = "job-cancelled",
  JobUnknown = "job-unknown",
}

/** The session is open. No work of an earlier session is running. */
export interface SessionGranted {
  readonly kind: DispatchReplyKind.SessionGranted;
  readonly session: SessionNumber;
  /** Reading of the sidecar's clock; sidecars of earlier versions leave it out. */
  readonly clock?: Milliseconds;
  /** Absent while no worker is known. */
  readonly profile?: WorkerProfile;
  readonly load?: WorkerLoad;
}

/** The session continues, and the worker and its profile are still those that the entry knows. */
export interface SessionRenewed {
  readonly kind: DispatchReplyKind.SessionRenewed;
  readonly session: SessionNumber;
  /** Reading of the sidecar's clock; sidecars of earlier versions leave it out. */
  readonly clock?: Milliseconds;
  /** Absent if the entry has the latest load. */
  readonly load?: WorkerLoad;
}

/**
 * Work of an earlier session is still being stopped, the worker is not known yet, or the session to
 * renew is not open.
 */
export interface SessionPending {
  readonly kind: DispatchReplyKind.SessionPending;
}

/** A task attempt has ended. */
export interface TaskSettled {
  readonly kind: DispatchReplyKind.TaskSettled;
  readonly settlement: TaskSettlement;
  readonly load?: WorkerLoad;
}

/**
 * The cancellation was received. The settlement of the attempt follows as the reply to its
 * `RunTask` request.
 */
export interface CancellationAcknowledged {
  readonly kind: DispatchReplyKind.CancellationAcknowledged;
}

/** The current load. */
export interface LoadReported {
  readonly kind: DispatchReplyKind.LoadReported;
  readonly load?: WorkerLoad;
}

/**
 * The receiver's fleet state. It contains the configuration only where that is newer than the
 * sender's.
 */
export interface FleetStateExchanged {
  readonly kind: DispatchReplyKind.FleetStateExchanged;
  readonly knowledge: FleetState;
}

/** The receiver's role does not handle this kind of request. */
export interface Misdirected {
  readonly kind: DispatchReplyKind.Misdirected;
}

/** The report of a crash was received. */
export interface CrashNoted {
  readonly kind: DispatchReplyKind.CrashNoted;
}

/** The job may be run by the entry that claimed it. */
export interface JobClaimed {
  readonly kind: DispatchReplyKind.JobClaimed;
}

/** The job is held by another entry, or by the one that was asked to yield it; the request is to be repeated. */
export interface JobHeld {
  readonly kind: DispatchReplyKind.JobHeld;
}

/** No run of the job is left at the entry that was asked, and it starts none without another claim. */
export interface JobYielded {
  readonly kind: DispatchReplyKind.JobYielded;
}

/** The entry that the job was granted to last. */
export interface JobLocated {
  readonly kind: DispatchReplyKind.JobLocated;
  readonly holder: {
    readonly process: ProcessIdentifier;
    /** Address for peers, as `host:port`. */
    readonly address: string;
  };
}

/** The job was cancelled. */
export interface JobCancelled {
  readonly kind: DispatchReplyKind.JobCancelled;
}

/** The job is not known: it has ended, or was never accepted. */
export interface JobUnknown {
  readonly kind: DispatchReplyKind.JobUnknown;
}

/** Any reply between entries and sidecars. */
export type DispatchReply =
  | SessionGranted
  | SessionRenewed
  | SessionPending
  | TaskSettled
  | CancellationAcknowledged
  | LoadReported
  | FleetStateExchanged
  | Misdirected
  | CrashNoted
  | JobClaimed
  | JobHeld
  | JobYielded
  | JobLocated
  | JobCancelled
  | JobUnknown
  | IncarnationMismatch;
