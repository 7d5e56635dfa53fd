/**
 * Requests and replies between processes for work that runs at most once. Each request has one
 * reply. A sender may repeat a request after it lost the connection, so every request is idempotent
 * at its receiver.
 */
import type {
  CallerRequestIdentifier,
  Epoch,
  LogOffset,
  Milliseconds,
  ProcessIdentifier,
  ShardNumber,
  SubmissionIdentifier,
} from "./identifiers.ts";
import type { JobOutcome, TaskEnd, TaskRefusalReason } from "./outcome.ts";
import type {
  Idempotence,
  Requirements,
  Submission,
  TaskDescription,
} from "./submission.ts";
import type { ConfigurationVersion } from "./log_record.ts";

/** Kinds of requests between processes. */
export enum PeerRequestKind {
  SubmitJob = "submit-job",
  QueryJob = "query-job",
  CancelJob = "cancel-job",
  StartTask = "start-task",
  CancelTask = "cancel-task",
  CollectStartRecords = "gather-evidence",
  HandOverShards = "hand-over-shards",
  HandOverRecords = "hand-over-records",
  Heartbeat = "heartbeat",
}

/** An entry relays a submission to the owner of the submission's shard. */
export interface SubmitJob {
  readonly kind: PeerRequestKind.SubmitJob;
  readonly shard: ShardNumber;
  readonly callerRequest: CallerRequestIdentifier;
  readonly submission: Submission;
  /** Time left until the caller's deadline. */
  readonly remainingMilliseconds: Milliseconds;
}

/** An entry queries the status of a job. */
export interface QueryJob {
  readonly kind: PeerRequestKind.QueryJob;
  readonly shard: ShardNumber;
  readonly submission: SubmissionIdentifier;
}

/** An entry relays a caller's cancellation. */
export interface CancelJob {
  readonly kind: PeerRequestKind.CancelJob;
  readonly shard: ShardNumber;
  readonly submission: SubmissionIdentifier;
}

/** How a runner treats a task when no slot is free. */
export enum NoFreeSlotPolicy {
  /** The runner queues the task, since the slot belongs to the owner's quota. */
  Wait = "may-wait",
  /** The runner refuses the task, so that the owner places it elsewhere. */
  Refuse = "free-slot",
}

/** An owner sends one task attempt to a runner. */
export interface StartTask {
  readonly kind: PeerRequestKind.StartTask;
  readonly shard: ShardNumber;
  readonly epoch: Epoch;
  readonly submission: SubmissionIdentifier;
  readonly digest: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly team: string;
  readonly kindOfWork: string;
  readonly idempotence: Idempotence;
  readonly task: TaskDescription;
  readonly requirements: Requirements;
  readonly remainingMilliseconds: Milliseconds;
  /**
   * Run time charged for the submission's other tasks: measured for those that have ended, expected
   * for those that are placed.
   */
  readonly servedMilliseconds: Milliseconds;
  readonly slotClaim: NoFreeSlotPolicy;
}

/** An owner cancels a task attempt that has not started. */
export interface CancelTask {
  readonly kind: PeerRequestKind.CancelTask;
  readonly shard: ShardNumber;
  readonly epoch: Epoch;
  readonly submission: SubmissionIdentifier;
  readonly taskIndex: number;
  readonly attempt: number;
}

/** A claimant raises the fence of shards and collects their start records. */
export interface CollectStartRecords {
  readonly kind: PeerRequestKind.CollectStartRecords;
  readonly shards: readonly ShardEpoch[];
}

/**
 * A leaving owner hands over its shards, with the answers that it keeps for them, to a successor.
 */
export interface HandOverShards {
  readonly kind: PeerRequestKind.HandOverShards;
  readonly shards: readonly ShardEpoch[];
  readonly answers: readonly RetainedAnswer[];
}

/**
 * A leaving runner hands over its start records to another runner, so that they outlive the
 * process.
 */
export interface HandOverRecords {
  readonly kind: PeerRequestKind.HandOverRecords;
  readonly records: readonly StartRecord[];
}

/** Liveness signal with the log position and the configuration version of its sender. */
export interface Heartbeat {
  readonly kind: PeerRequestKind.Heartbeat;
  /** Log offset at which the sender reads next. */
  readonly logOffset: LogOffset;
  readonly configurationOffset: LogOffset;
}

/** Any request between processes. */
export type PeerRequest =
  | SubmitJob
  | QueryJob
  | CancelJob
  | StartTask
  | CancelTask
  | CollectStartRecords
  | HandOverShards
  | HandOverRecords
  | Heartbeat;

/** A shard with one of its epochs. */
export interface ShardEpoch {
  readonly shard: ShardNumber;
  readonly epoch: Epoch;
}

/** An answer that the owner keeps for resubmissions. */
export interface RetainedAnswer {
  readonly submission: SubmissionIdentifier;
  readonly digest: string;
  readonly outcome: JobOutcome;
}

/** A runner's record of one task that it accepted and started. */
export interface StartRecord {
  readonly shard: ShardNumber;
  readonly submission: SubmissionIdentifier;
  readonly digest: string;
  readonly taskIndex: number;
  /** The epoch of the owner that placed the attempt. */
  readonly epoch: Epoch;
  readonly attempt: number;
  /** How the task ended; absent while it runs, or when the result has been dropped. */
  readonly end?: TaskEnd;
  /** True when the task has ended and its result is no longer retained. */
  readonly isResultDropped: boolean;
}

/** Load of a runner. The runner's replies about tasks and heartbeats carry it. */
export interface RunnerLoad {
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  /** Expected time until a task of a new submission that arrives now starts. */
  readonly expectedWaitMilliseconds: Milliseconds;
  readonly isLeaving: boolean;
}

/** Kinds of replies between processes. */
export enum PeerReplyKind {
  JobAnswered = "job-answered",
  JobStatus = "job-standing",
  NotOwner = "not-owner",
  TaskEnded = "task-ended",
  TaskRefused = "task-refused",
  TaskStarted = "task-started",
  StartRecordsCollected = "evidence-given",
  ShardsAccepted = "shards-taken",
  RecordsAccepted = "records-taken",
  HandoverRefused = "hand-over-refused",
  HeartbeatAnswered = "heartbeat-answered",
  /** The request was addressed to another incarnation of this process, earlier or later. */
  IncarnationMismatch = "other-incarnation",
}

/** The complete answer to a submission. */
export interface JobAnswered {
  readonly kind: PeerReplyKind.JobAnswered;
  readonly outcome: JobOutcome;
  /** True when the content differs from the content first submitted under this idempotency key. */
  readonly isKeyReused: boolean;
  readonly epoch: Epoch;
}

/** States of a job as its owner sees them. */
export enum JobState {
  /** The owner has no record of the job. */
  Unseen = "unseen",
  Waiting = "waiting",
  Running = "running",
  Ended = "ended",
}

/** Status of a job. */
export interface JobStatus {
  readonly kind: PeerReplyKind.JobStatus;
  readonly state: JobState;
  readonly tasks: number;
  readonly tasksStarted: number;
  readonly tasksEnded: number;
  readonly outcome?: JobOutcome;
}

/** The receiver does not own the shard, or its claim is not granted yet. */
export interface NotOwner {
  readonly kind: PeerReplyKind.NotOwner;
  /** The newest epoch of the shard that the receiver knows. */
  readonly knownEpoch: Epoch;
}

/** A task ran and ended. */
export interface TaskEnded {
  readonly kind: PeerReplyKind.TaskEnded;
  readonly end: TaskEnd;
  readonly load: RunnerLoad;
}

/** A task attempt did not start and never starts. */
export interface TaskRefused {
  readonly kind: PeerReplyKind.TaskRefused;
  readonly reason: TaskRefusalReason;
  readonly knownEpoch: Epoch;
  readonly load: RunnerLoad;
}

/** A cancellation came too late: the attempt has started. */
export interface TaskStarted {
  readonly kind: PeerReplyKind.TaskStarted;
  readonly load: RunnerLoad;
}

/** All start records of the requested shards. */
export interface StartRecordsCollected {
  readonly kind: PeerReplyKind.StartRecordsCollected;
  readonly records: readonly StartRecord[];
  /** Shards for which this runner already knows a newer epoch. */
  readonly fenced: readonly ShardEpoch[];
}

/** The successor claims the offered shards. */
export interface ShardsAccepted {
  readonly kind: PeerReplyKind.ShardsAccepted;
}

/** The receiving runner keeps the records from now on. */
export interface RecordsAccepted {
  readonly kind: PeerReplyKind.RecordsAccepted;
}

/** The receiver is leaving too or cannot claim shards, and took over nothing. */
export interface HandoverRefused {
  readonly kind: PeerReplyKind.HandoverRefused;
}

/** Reply to a heartbeat. */
export interface HeartbeatAnswered {
  readonly kind: PeerReplyKind.HeartbeatAnswered;
  /** Log offset at which the replying process reads next. */
  readonly logOffset: LogOffset;
  readonly isLeaving: boolean;
  /** Shards that the replying process owns and has been granted. */
  readonly granted: readonly ShardEpoch[];
  /**
   * Load of the replying process's runner. An owner with no task in flight there gets the load only from
   * this reply.
   */
  readonly load?: RunnerLoad;
  /** Present when the sender's configuration is older than the receiver's. */
  readonly newerConfiguration?: ConfigurationVersion;
}

/** The request was addressed to another incarnation of this process. */
export interface IncarnationMismatch {
  readonly kind: PeerReplyKind.IncarnationMismatch;
  readonly current: ProcessIdentifier;
}

/** Any reply between processes. */
export type PeerReply =
  | JobAnswered
  | JobStatus
  | NotOwner
  | TaskEnded
  | TaskRefused
  | TaskStarted
  | StartRecordsCollected
  | ShardsAccepted
  | RecordsAccepted
  | HandoverRefused
  | HeartbeatAnswered
  | IncarnationMismatch;
