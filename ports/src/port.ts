/**
 * The ports: what the decisions need of the world, without saying by which protocol. An adapter gives
 * a stream of inputs, performs outputs, and is disposed of by its owner.
 */
import type {
  AlarmFired,
  Announce,
  AnswerCaller,
  AnswerClient,
  AnswerOperator,
  AppendRecord,
  BackendServerInput,
  CallerInput,
  CallWorker,
  ClientInput,
  DirectoryInput,
  DispatchPeerInput,
  DispatchReply,
  DispatchRequest,
  DrainRequested,
  ExecuteTask,
  IncrementCounter,
  Milliseconds,
  ObserveDuration,
  OperatorInput,
  OutgoingReply,
  OutgoingRequest,
  PeerInput,
  PlatformLogInput,
  ProcessEvent,
  ReportReadiness,
  SaveWorker,
  SendReply,
  SendRequest,
  SetGauge,
  SettingsChanged,
  WorkerInput,
} from "@eelgrassfront/model";
import type { Stream } from "@most/types";

/** A source of inputs that its owner disposes of. */
export interface InputPort<Input> extends AsyncDisposable {
  readonly inputs: Stream<Input>;
}

/** A port that also performs outputs. It never throws for what the world does; that comes as input. */
export interface Port<Input, Output> extends InputPort<Input> {
  perform(output: Output): void;
}

/** Callers of an entry. */
export type CallersPort = Port<CallerInput, AnswerCaller | ReportReadiness>;

/** Other processes of the system. */
export type PeersPort = Port<PeerInput, SendRequest | SendReply>;

/** The backend server beside a sidecar. */
export type BackendServerPort = Port<BackendServerInput, ExecuteTask>;

/** The platform's log. */
export type PlatformLogPort = Port<PlatformLogInput, AppendRecord>;

/** Operators of a process. */
export type OperatorsPort = Port<
  OperatorInput,
  AnswerOperator | ReportReadiness
>;

/** Client accounts of an entry that runs best-effort jobs. */
export type ClientsPort = Port<ClientInput, AnswerClient | ReportReadiness>;

/** Members and configuration as the platform's store keeps them. */
export type DirectoryPort = Port<DirectoryInput, Announce | SaveWorker>;

/** The worker beside a sidecar. */
export type WorkerPort = Port<WorkerInput, CallWorker>;

/** Other processes that run best-effort jobs. */
export type DispatchPeersPort = Port<
  DispatchPeerInput,
  OutgoingRequest<DispatchRequest> | OutgoingReply<DispatchReply>
>;

/** Changes of the settings. */
export type SettingsPort = InputPort<SettingsChanged>;

/** Signals of the operating system. */
export type SignalsPort = InputPort<DrainRequested>;

/** Time. */
export interface ClockPort extends InputPort<AlarmFired> {
  /** The local monotonic time. */
  now(): Milliseconds;
  /** Rings once at the given time; replaces the alarm set before. */
  setAlarm(at: Milliseconds | undefined): void;
}

/** The event log of the process. */
export interface JournalPort {
  record(event: ProcessEvent): void;
}

/** Counters, gauges and histograms. */
export interface MetricsPort extends AsyncDisposable {
  measure(output: IncrementCounter | SetGauge | ObserveDuration): void;
}
