/**
 * Inputs of the state machines for best-effort work.
 */
import type { JobRequest } from "./best_effort_job.ts";
import type {
  DispatchReply,
  DispatchRequest,
  FleetMember,
} from "./dispatch_message.ts";
import type { EvacuationRead } from "./evacuation.ts";
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
  SubmissionAbandoned = "submission-abandoned",
  JobStateRequested = "job-state-asked",
  JobCancellationRequested = "job-cancel-asked",
  ClientDisconnected = "client-gone",
  ConfigurationRead = "configuration-read",
  EvacuationsRead = "evacuations-read",
  MembersRead = "members-read",
  StoreAvailable = "store-available",
  StoreUnavailable = "store-unavailable",
  AnnouncementStored = "announcement-settled",
  SavedWorkerRead = "worker-remembered",
  WorkerReported = "worker-reported",
  WorkerReportInvalid = "worker-report-invalid",
  WorkerLeaving = "worker-left",
  WorkerAnswered = "worker-answered",
  SettingsChanged = "settings-changed",
}

/** Host and path of a client account's request. */
export interface RequestTarget {
  readonly host: string;
  readonly path: string;
}

/** A client account submitted a job and waits for its outcome. */
export interface JobSubmitted {
  readonly kind: DispatchInputKind.JobSubmitted;
  readonly request: RequestIdentifier;
  readonly target: RequestTarget;
  readonly body: JobRequest;
  /** How long the client waits; absent when the request does not say. */
  readonly deadlineMilliseconds?: Milliseconds;
}

/** A client account had closed its connection before its job was handled; the job has no effect. */
export interface SubmissionAbandoned {
  readonly kind: DispatchInputKind.SubmissionAbandoned;
  readonly target: RequestTarget;
}

/** A client account requests the state of a job, or the length of a queue. */
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

/** The operators' records of evacuated zones were read from the platform's store. */
export interface EvacuationsRead {
  readonly kind: DispatchInputKind.EvacuationsRead;
  readonly read: EvacuationRead;
}

/** Members were read from the platform's store. */
export interface MembersRead {
  readonly kind: DispatchInputKind.MembersRead;
  readonly members: readonly FleetMember[];
  /** Names of processes that have left permanently. */
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

/** The store has stored the announcement of this process. */
export interface AnnouncementStored {
  readonly kind: DispatchInputKind.AnnouncementStored;
}

/**
 * Description of this sidecar's worker that an earlier incarnation of the sidecar saved in the store. The
 * worker may have ended since.
 */
export interface SavedWorkerRead {
  readonly kind: DispatchInputKind.SavedWorkerRead;
  readonly description: WorkerDescription;
}

/** This sidecar's worker sent its description. */
export interface WorkerReported {
  readonly kind: DispatchInputKind.WorkerReported;
  readonly description: WorkerDescription;
}

/** A worker's report cannot be parsed, so it names no usable worker. */
export interface WorkerReportInvalid {
  readonly kind: DispatchInputKind.WorkerReportInvalid;
  readonly detail: string;
}

/** The worker says that it ends now. It may still run tasks for a moment. */
export interface WorkerLeaving {
  readonly kind: DispatchInputKind.WorkerLeaving;
  readonly worker: WorkerIncarnation["id"];
}

/** The worker answered a call, or the call ended without an answer. */
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
  | SubmissionAbandoned
  | JobStateRequested
  | JobCancellationRequested
  | ClientDisconnected;

/** Inputs from the platform's store. */
export type DirectoryInput =
  | ConfigurationRead
  | EvacuationsRead
  | MembersRead
  | StoreAvailable
  | StoreUnavailable
  | AnnouncementStored
  | SavedWorkerRead;

/** Inputs from a sidecar's worker. */
export type WorkerInput =
  | WorkerReported
  | WorkerReportInvalid
  | WorkerLeaving
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
