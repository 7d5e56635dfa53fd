/**
 * The run of a task attempt at a sidecar, from the acceptance of the attempt to its settlement.
 */
import {
  assertNever,
  type InterruptionReason,
  type JobTaskReference,
  type Milliseconds,
  type ProcessIdentifier,
  type RequestIdentifier,
  type Resources,
  type RunReference,
  type SessionNumber,
  type WorkerRequirements,
} from "@eelgrassfront/model";

/** Phases of a run. */
export enum RunPhase {
  /** The attempt is accepted; the start call was not sent yet. */
  Waiting = "waiting",
  /** The start call was sent and has no answer yet. */
  Starting = "starting",
  /** The start call was not answered, so the run may have started or not. */
  Indeterminate = "doubtful",
  Running = "running",
  /** The run is to be stopped; the worker has not listed its end yet. */
  Stopping = "stopping",
}

/** The run waits until all other runs at the worker are known. */
export interface WaitingRun {
  readonly phase: RunPhase.Waiting;
}

/** The start call has no answer yet. */
export interface StartingRun {
  readonly phase: RunPhase.Starting;
  readonly run: number;
  readonly call: RequestIdentifier;
  readonly sentAt: Milliseconds;
  /** Whether the worker had left an earlier call unanswered, so that it may have ended before. */
  readonly isWorkerSilent: boolean;
}

/** The run may be active, or may start until the deadline of its start call. */
export interface IndeterminateRun {
  readonly phase: RunPhase.Indeterminate;
  readonly run: number;
  readonly since: Milliseconds;
  /** Whether the connection to a worker that had answered broke, as when the run crashes it at once. */
  readonly hasConnectionBroken: boolean;
}

/** The run is active. */
export interface ActiveRun {
  readonly phase: RunPhase.Running;
  readonly run: number;
  readonly startedAt: Milliseconds;
  readonly percent: number;
  /** When the worker last listed the progress. */
  readonly listedAt: Milliseconds;
  /** When the progress last changed. */
  readonly progressAt: Milliseconds;
}

/** The run is being stopped. */
export interface StoppingRun {
  readonly phase: RunPhase.Stopping;
  readonly run: number;
  readonly reason: InterruptionReason;
  /** What was known of its beginning when it was stopped. */
  readonly beginning: RunBeginning;
  /** When the first stop call was sent. */
  readonly since: Milliseconds;
  /** When the stop call is sent again. */
  readonly nextStopAt: Milliseconds;
  /** Whether the stop call was sent more than once. */
  readonly isRepeated: boolean;
  /** When the worker accepted the stop; a later list without the run proves its end. */
  readonly acceptedAt?: Milliseconds;
}

/** Phase of a run with the data of the phase. */
export type RunState =
  | WaitingRun
  | StartingRun
  | IndeterminateRun
  | ActiveRun
  | StoppingRun;

/** What is known of the beginning of a run at the worker. */
export enum RunBeginning {
  /** Nothing shows that the worker has executed the start call. */
  Unproven = "unproven",
  /** The worker was there, but did not answer the start call in time. */
  Possible = "possible",
  /** The connection of the start call to a responsive worker broke, perhaps while the worker handled the call. */
  Likely = "likely",
  /** The worker has answered the start call or listed the run. */
  Confirmed = "confirmed",
}

/** The run of an accepted attempt. */
export interface WorkerRun {
  /** Key of the task, under which the run is found. */
  readonly key: string;
  readonly task: JobTaskReference;
  readonly attempt: number;
  readonly entry: ProcessIdentifier;
  readonly session: SessionNumber;
  readonly content: string;
  readonly resources: Resources;
  /** What the task requires of the worker; undefined if its entry did not say. */
  readonly requirements: WorkerRequirements | undefined;
  readonly expectedMilliseconds: Milliseconds;
  /** When the attempt was accepted, which is shortly before its start. */
  readonly acceptedAt: Milliseconds;
  /** Kind of work of a task that runs apart because it may crash the worker. */
  readonly suspectRoute: string | undefined;
  /** Kind of work; undefined if its entry did not say. */
  readonly workKind: string | undefined;
  /** The request that the settlement answers; a repeated request replaces it. */
  request: RequestIdentifier;
  state: RunState;
}

/** The worker's reference of a run; undefined before the start call. */
export function runReferenceOf(
  { task, state }: WorkerRun,
): RunReference | undefined {
  return state.phase === RunPhase.Waiting
    ? undefined
    : { task, run: state.run };
}

/** Returns what is known of the beginning of a run. */
export function beginningOf({ state }: WorkerRun): RunBeginning {
  switch (state.phase) {
    case RunPhase.Waiting:
    case RunPhase.Starting:
      return RunBeginning.Unproven;
    case RunPhase.Indeterminate:
      return state.hasConnectionBroken
        ? RunBeginning.Likely
        : RunBeginning.Possible;
    case RunPhase.Running:
      return RunBeginning.Confirmed;
    case RunPhase.Stopping:
      return beginningOfStopped(state);
    default:
      return assertNever(state);
  }
}

/** What is known of a run that is being stopped; once the worker has accepted the stop, it may have ended. */
function beginningOfStopped(
  { beginning, acceptedAt }: StoppingRun,
): RunBeginning {
  const mayHaveEnded = acceptedAt !== undefined &&
    beginning !== RunBeginning.Unproven;
  return mayHaveEnded ? RunBeginning.Possible : beginning;
}

/** Returns the state of an active run whose progress the worker has listed. */
export function withProgress(
  { run, startedAt, percent: earlier, progressAt }: ActiveRun,
  percent: number,
  now: Milliseconds,
): ActiveRun {
  return {
    phase: RunPhase.Running,
    run,
    startedAt,
    percent,
    listedAt: now,
    progressAt: percent === earlier ? progressAt : now,
  };
}
