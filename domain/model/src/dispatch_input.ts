/**
 * Inputs of the decisions for best-effort work.
 */
import type { JobRequest } from "./best_effort_job.ts";
import type {
  DispatchReply,
  DispatchRequest,
  FleetMember,
} from "./dispatch_message.ts";
import type { Milliseconds, RequestIdentifier } from "./identifiers.ts";
import type { ProcessError } from "./process_error.ts";
import type {
  AlarmFired,
  DrainRequested,
  IncomingReply,
  IncomingRequest,
  PeerRequestLost,
} from "./process_input.ts";
import type { WorkConfiguration } from "./work_configuration.ts";
import type {
  WorkerAnswer,
  WorkerDescription,
  WorkerIncarnation,
} from "./worker_call.ts";

/** Kinds of inputs that only best-effort work has. */
export enum DispatchInputKind {
  JobSubmitted = "job-handed-in",
  JobStateRequested = "job-state-asked",
  JobCancellationRequested = "job-cancel-asked",
  ClientDisconnected = "client-gone",
  ConfigurationRead = "configuration-read",
  MembersRead = "members-read",
  StoreAvailable = "store-available",
  StoreUnavailable = "store-unavailable",
  AnnouncementStored = "announcement-settled",
  SavedWorkerRead = "worker-remembered",
  WorkerReported = "worker-reported",
  WorkerReportInvalid = "worker-report-invalid",
  WorkerLeft = "worker-left",
  WorkerAnswered = "worker-answered",
  SettingsChanged = "settings-changed",
}

/** Where a client account's request was addressed. */
export interface RequestTarget {
  readonly host: string;
  readonly path: string;
}

/** A client account handed in a job and waits for its outcome. */
export interface JobSubmitted {
  readonly kind: DispatchInputKind.JobSubmitted;
  readonly request: RequestIdentifier;
  readonly target: RequestTarget;
  readonly body: JobRequest;
  /** How long the client waits, where it says so. */
  readonly deadlineMilliseconds?: Milliseconds;
}

/** A client account asks for a job, or for the length of a queue. */
export interface JobStateRequested {
  readonly kind: DispatchInputKind.JobStateRequested;
  readonly request: RequestIdentifier;
  readonly target: RequestTarget;
}

/** A client account cancels a job. */
export interface JobCancellationRequested {
  readonly kind: DispatchInputKind.JobCancellationRequested;
  readonly request: RequestIdentifier;
  readonly target: RequestTarget;
}

/** The client closed its connection before the answer. */
export interface ClientDisconnected {
  readonly kind: DispatchInputKind.ClientDisconnected;
  readonly request: RequestIdentifier;
}

/** A version of the configuration was read. */
export interface ConfigurationRead {
  readonly kind: DispatchInputKind.ConfigurationRead;
  readonly configuration: WorkConfiguration;
}

/** Members were read from the platform's store. */
export interface MembersRead {
  readonly kind: DispatchInputKind.MembersRead;
  readonly members: readonly FleetMember[];
  /** Names of processes that have left for good. */
  readonly removedNames: readonly string[];
}

/** The store answers again. */
export interface StoreAvailable {
  readonly kind: DispatchInputKind.StoreAvailable;
}

/** The store does not answer. */
export interface StoreUnavailable {
  readonly kind: DispatchInputKind.StoreUnavailable;
  readonly error: ProcessError;
}

/** The announcement of this process is kept by the store. */
export interface AnnouncementStored {
  readonly kind: DispatchInputKind.AnnouncementStored;
}

/** What an earlier run of this sidecar kept of the worker beside it, which may have ended since. */
export interface SavedWorkerRead {
  readonly kind: DispatchInputKind.SavedWorkerRead;
  readonly description: WorkerDescription;
}

/** The worker beside this sidecar said what it is. */
export interface WorkerReported {
  readonly kind: DispatchInputKind.WorkerReported;
  readonly description: WorkerDescription;
}

/** A report that cannot be read; it names no worker to use. */
export interface WorkerReportInvalid {
  readonly kind: DispatchInputKind.WorkerReportInvalid;
  readonly detail: string;
}

/** The worker has left. */
export interface WorkerLeft {
  readonly kind: DispatchInputKind.WorkerLeft;
  readonly worker: WorkerIncarnation["id"];
}

/** The worker answered a call, or did not. */
export interface WorkerAnswered {
  readonly kind: DispatchInputKind.WorkerAnswered;
  readonly call: RequestIdentifier;
  readonly answer: WorkerAnswer;
}

/** The settings file has changed. */
export interface SettingsChanged {
  readonly kind: DispatchInputKind.SettingsChanged;
}

/** Inputs from client accounts. */
export type ClientInput =
  | JobSubmitted
  | JobStateRequested
  | JobCancellationRequested
  | ClientDisconnected;

/** Inputs from the platform's store. */
export type DirectoryInput =
  | ConfigurationRead
  | MembersRead
  | StoreAvailable
  | StoreUnavailable
  | AnnouncementStored
  | SavedWorkerRead;

/** Inputs from the worker beside a sidecar. */
export type WorkerInput =
  | WorkerReported
  | WorkerReportInvalid
  | WorkerLeft
  | WorkerAnswered;

/** Inputs from the processes of the fleet. */
export type DispatchPeerInput =
  | IncomingRequest<DispatchRequest>
  | IncomingReply<DispatchReply>
  | PeerRequestLost;

/** Any input of best-effort work. */
export type DispatchInput =
  | ClientInput
  | DirectoryInput
  | WorkerInput
  | DispatchPeerInput
  | AlarmFired
  | DrainRequested
  | SettingsChanged;
