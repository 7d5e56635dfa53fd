/**
 * Ports between the state machines and the outside world, independent of protocols. An adapter implements a
 * port: the adapter supplies a stream of inputs, performs outputs, and is disposed of by the code that
 * opened it.
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

/** A source of inputs; the code that opened it disposes of it. */
export interface InputPort<Input> extends AsyncDisposable {
  readonly inputs: Stream<Input>;
}

/** A port that also performs outputs. Failures outside of the process arrive as inputs and are never thrown. */
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

/** Members and configuration in the platform's store. */
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

/** The monotonic clock with one alarm. */
export interface ClockPort extends InputPort<AlarmFired> {
  /** Returns the local monotonic time. */
  now(): Milliseconds;
  /** Sets the alarm to fire once at the given time, instead of the previous one; undefined clears it. */
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
