/**
 * Numbered events of the process log. The catalogue in `docs/EVENTS.md` describes each of them.
 */

/** Event numbers. A number is never reused with another meaning. */
export enum EventNumber {
  ProcessStarted = 1001,
  ProcessReady = 1002,
  ProcessLeaving = 1003,
  ProcessStopped = 1004,
  InvariantBroken = 1005,
  MemberJoined = 2001,
  MemberRemoved = 2002,
  MemberUnreachable = 2003,
  ShardsClaimed = 2101,
  ShardsGranted = 2102,
  ShardsLost = 2103,
  EvidenceMissing = 2104,
  ProcessIsolated = 2105,
  HandOverGivenUp = 2106,
  ConfigurationAccepted = 2201,
  ConfigurationRejected = 2202,
  ConfigurationLearntFromPeer = 2203,
  LogUnavailable = 2301,
  LogAvailable = 2302,
  LogRecordInvalid = 2303,
  JobUnknown = 3002,
  BackendServerAnnounced = 4001,
  BackendServerUnreachable = 4002,
  PeerRequestLost = 5001,
  PeerMessageInvalid = 5002,
  SettingsReloaded = 1006,
  ProcessPaused = 1007,
  SessionOpened = 2401,
  SessionLost = 2402,
  SessionEnded = 2403,
  MemberLearnt = 2404,
  ZoneEvacuated = 2501,
  ZoneRestored = 2502,
  JobEnded = 3101,
  JobRefused = 3102,
  JobGivenUp = 3103,
  JobAbandoned = 3104,
  TaskRetried = 3105,
  TaskMoved = 3106,
  TaskSuspected = 3107,
  KindQuarantined = 3108,
  SubmissionAbandoned = 3109,
  JobAccepted = 3110,
  JobHeldElsewhere = 3111,
  ClaimUnanswered = 3112,
  JobCancelledElsewhere = 3113,
  CrashUnexplained = 3114,
  ClientRejected = 3201,
  WorkerAnnounced = 4101,
  WorkerDraining = 4102,
  WorkerLost = 4103,
  WorkerReportInvalid = 4104,
  RunDoubtful = 4105,
  RunSettled = 4106,
  RunStopRepeated = 4107,
  RunUnknown = 4108,
  WorkerCrashed = 4109,
  WorkerUnconfirmed = 4110,
  WorkerLeaving = 4111,
  RunNotSent = 4112,
}

/** Severity of an event. */
export enum Severity {
  Debug = "debug",
  Information = "information",
  Warning = "warning",
  Error = "error",
}

/** A numbered event with its context. */
export interface ProcessEvent {
  readonly number: EventNumber;
  readonly severity: Severity;
  readonly message: string;
  readonly context: Readonly<Record<string, string | number | boolean>>;
}
