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
  GatherEvidence = "gather-evidence",
  PublishConfiguration = "publish-configuration",
  CallPeer = "call-peer",
  DescribeBackendServer = "describe-backend-server",
}

/** Tags of errors. */
export enum ErrorTag {
  InvalidSettings = "invalid-settings",
  InvalidMessage = "invalid-message",
  Unreachable = "unreachable",
  TimedOut = "timed-out",
  Unauthorized = "unauthorized",
  InvariantBroken = "invariant-broken",
}

/** An error with the step and the peer at which it arose, and how to go on. */
export interface ProcessError {
  readonly tag: ErrorTag;
  readonly step: Step;
  readonly peer?: string;
  readonly message: string;
  readonly hint: string;
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
  NotRunIsTrue = "not run is never said after a start",
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
