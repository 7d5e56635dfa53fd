/**
 * One attempt at a task as the guard of a worker knows it.
 */
import type {
  InterruptionReason,
  JobTaskReference,
  Milliseconds,
  ProcessIdentifier,
  RequestIdentifier,
  Resources,
  RunReference,
  SessionNumber,
} from "@eelgrassfront/model";

/** Phases of an attempt. */
export enum RunPhase {
  /** Accepted; the worker was not told yet. */
  Waiting = "waiting",
  /** The worker was told to start it and has not answered. */
  Starting = "starting",
  /** The worker's answer to the start is missing. */
  Doubtful = "doubtful",
  Running = "running",
  /** The worker was told to stop it; its end is not listed yet. */
  Stopping = "stopping",
}

/** Waits until it is known what else runs at the worker. */
export interface WaitingRun {
  readonly phase: RunPhase.Waiting;
}

/** The start is on its way. */
export interface StartingRun {
  readonly phase: RunPhase.Starting;
  readonly run: number;
  readonly call: RequestIdentifier;
  readonly sentAt: Milliseconds;
}

/** It may run, or may start until the deadline of its start has passed. */
export interface DoubtfulRun {
  readonly phase: RunPhase.Doubtful;
  readonly run: number;
  readonly since: Milliseconds;
}

/** It runs. */
export interface ActiveRun {
  readonly phase: RunPhase.Running;
  readonly run: number;
  readonly startedAt: Milliseconds;
  readonly percent: number;
  /** When the share of work done was last listed. */
  readonly listedAt: Milliseconds;
  /** When the share of work done last grew. */
  readonly progressAt: Milliseconds;
}

/** It is being stopped. */
export interface StoppingRun {
  readonly phase: RunPhase.Stopping;
  readonly run: number;
  readonly reason: InterruptionReason;
  /** When the worker is told again. */
  readonly nextStopAt: Milliseconds;
  /** Time at which the worker accepted the stop, so that a later list without the run is its end. */
  readonly acceptedAt?: Milliseconds;
}

/** Any phase. */
export type RunState =
  | WaitingRun
  | StartingRun
  | DoubtfulRun
  | ActiveRun
  | StoppingRun;

/** An attempt with its phase. */
export interface GuardedRun {
  readonly task: JobTaskReference;
  readonly attempt: number;
  readonly entry: ProcessIdentifier;
  readonly session: SessionNumber;
  readonly content: string;
  readonly resources: Resources;
  readonly expectedMilliseconds: Milliseconds;
  /** The request that hears of the end; a repeated one replaces it. */
  request: RequestIdentifier;
  state: RunState;
}

/** The run at the worker, if the worker was told of it. */
export function workerRunOf(
  { task, state }: GuardedRun,
): RunReference | undefined {
  return state.phase === RunPhase.Waiting
    ? undefined
    : { task, run: state.run };
}
