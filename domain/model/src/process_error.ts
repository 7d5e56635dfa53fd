/**
 * Errors as tagged unions. Each carries the step at which it arose and, where there is one, the peer.
 */

/** Steps of the system at which an error can arise. */
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

/** Tags of errors. They are stable: tools and operators may rely on them. */
export enum ErrorTag {
  /** No connection could be made, so that nothing was sent. */
  Unreachable = "unreachable",
  /** The connection ended before the answer; the request may have had an effect. */
  ConnectionLost = "connection-lost",
  /** No answer came in time; the request may have had an effect. */
  TimedOut = "timed-out",
  /** The answer does not keep to the protocol. */
  InvalidAnswer = "invalid-answer",
}

interface ErrorOrigin {
  /** The step at which the error arose. */
  readonly step: Step;
  /** The process, server or address that was asked. */
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

/** The answer does not keep to the protocol. */
export interface InvalidAnswerError extends ErrorOrigin {
  readonly tag: ErrorTag.InvalidAnswer;
}

/** An error with the step and the peer at which it arose. */
export type ProcessError =
  | UnreachableError
  | ConnectionLostError
  | TimedOutError
  | InvalidAnswerError;

/** Returns what an operator can do about an error. */
export function hintFor(error: ProcessError): string {
  switch (error.tag) {
    case ErrorTag.Unreachable:
      return `check that ${error.peer} runs and listens on that address`;
    case ErrorTag.ConnectionLost:
      return `${error.peer} may have been replaced; the request is sent again where that is safe`;
    case ErrorTag.TimedOut:
      return `${error.peer} is slow, frozen or cut off; look at its events`;
    case ErrorTag.InvalidAnswer:
      return `check that ${error.peer} runs a version that speaks this protocol`;
  }
}

/** Thrown when a promise of the system would be broken. The process stops at once. */
export class InvariantError extends Error {
  /** The rule that was broken. */
  readonly invariant: Invariant;
  /** What the process knew, for the event log. */
  readonly state: string;

  constructor(invariant: Invariant, state: string) {
    super(`invariant broken: ${invariant}: ${state}`);
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
  NoStartAfterLeaving = "no start after leaving",
  ConfigurationNeverReverts = "the configuration never reverts",
  AnswerReachesItsRequest = "an answer reaches its own request, once",
  SlotsNotExceeded = "no more tasks run than there are slots",
}

/** Throws when `isHeld` is false. The state is described only then. */
export function assertInvariant(
  isHeld: boolean,
  invariant: Invariant,
  describeState: () => string,
): asserts isHeld {
  if (!isHeld) throw new InvariantError(invariant, describeState());
}

/** Fails to compile where a switch leaves out a member of a union. */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected value: ${String(value)}`);
}
