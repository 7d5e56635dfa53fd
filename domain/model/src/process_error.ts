/**
 * Errors as a discriminated union. Each error carries the step and the peer at which it occurred.
 */

/** Steps of the system at which an error can occur. */
export enum Step {
  ReadSettings = "read-settings",
  ReadCallerRequest = "read-caller-request",
  AdmitJob = "admit-job",
  RelayJob = "relay-job",
  PlaceTask = "place-task",
  ExecuteTask = "execute-task",
  ReadLog = "read-log",
  AppendLog = "append-log",
  ClaimShards = "claim-shards",
  CollectStartRecords = "gather-evidence",
  PublishConfiguration = "publish-configuration",
  CallPeer = "call-peer",
  DescribeBackendServer = "describe-backend-server",
  SubmitJob = "submit-job",
  QueryJob = "ask-job",
  CancelJob = "cancel-job",
  ReadReport = "read-report",
  RequestDrain = "ask-drain",
}

/** Tags of errors. Tags are stable, so tools and operators may rely on them. */
export enum ErrorTag {
  /** No connection could be made, so nothing was sent. */
  Unreachable = "unreachable",
  /** The connection ended before the answer; the request may have had an effect. */
  ConnectionLost = "connection-lost",
  /** No answer came in time; the request may have had an effect. */
  TimedOut = "timed-out",
  /** The answer violates the protocol. */
  InvalidAnswer = "invalid-answer",
}

interface ErrorOrigin {
  /** The step at which the error occurred. */
  readonly step: Step;
  /** The process, server or address that the request was sent to. */
  readonly peer: string;
  readonly detail: string;
}

/** No connection could be made. */
export interface UnreachableError extends ErrorOrigin {
  readonly tag: ErrorTag.Unreachable;
}

/** The connection ended before the answer. */
export interface ConnectionLostError extends ErrorOrigin {
  readonly tag: ErrorTag.ConnectionLost;
}

/** No answer came in time. */
export interface TimedOutError extends ErrorOrigin {
  readonly tag: ErrorTag.TimedOut;
}

/** The answer violates the protocol. */
export interface InvalidAnswerError extends ErrorOrigin {
  readonly tag: ErrorTag.InvalidAnswer;
}

/** An error with the step and the peer at which it occurred. */
export type ProcessError =
  | UnreachableError
  | ConnectionLostError
  | TimedOutError
  | InvalidAnswerError;

/** Returns the advice that operators get with an error. */
export function hintFor(error: ProcessError): string {
  switch (error.tag) {
    case ErrorTag.Unreachable:
      return `check that ${error.peer} runs and listens on that address`;
    case ErrorTag.ConnectionLost:
      return `${error.peer} may have been replaced; the request is sent again where that is safe`;
    case ErrorTag.TimedOut:
      return `${error.peer} is slow, paused or partitioned; check its events`;
    case ErrorTag.InvalidAnswer:
      return `check that ${error.peer} runs a version that supports this protocol`;
  }
}

/** Thrown when a guarantee of the system would be violated. The process stops at once. */
export class InvariantError extends Error {
  /** The violated rule. */
  readonly invariant: Invariant;
  /** State of the process, for the event log. */
  readonly state: string;

  constructor(invariant: Invariant, state: string) {
    super(`invariant violated: ${invariant}: ${state}`);
    this.name = "InvariantError";
    this.invariant = invariant;
    this.state = state;
  }
}

/** Rules that hold at all times. */
export enum Invariant {
  NoSecondStart = "no task starts twice",
  NoPartialAnswer = "an answer is complete or failed",
  NotRunMeansNoStart = "not run is never said after a start",
  NoStartForFencedEpoch = "no start for a fenced epoch",
  NoStartAfterDrain = "no start after leaving",
  ConfigurationNeverReverts = "the configuration never reverts",
  AnswerReachesItsRequest = "an answer reaches its own request, once",
  SlotsNotExceeded = "no more tasks run than there are slots",
}

/** Throws an `InvariantError` when `isSatisfied` is false. `describeState` is called only then. */
export function assertInvariant(
  isSatisfied: boolean,
  invariant: Invariant,
  describeState: () => string,
): asserts isSatisfied {
  if (!isSatisfied) throw new InvariantError(invariant, describeState());
}

/**
 * Default branch of exhaustive switches: the compiler rejects a switch that omits a member of a
 * union.
 */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected value: ${String(value)}`);
}
