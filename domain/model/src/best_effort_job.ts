/**
 * Best-effort jobs: steps of identical tasks, answered when the job has ended and not stored. After
 * a lost answer a job may run again from the start, but never twice at the same time.
 */
import type { Milliseconds } from "./identifiers.ts";
import type { Resources } from "./resources.ts";

/** Guarantee for the runs of a job. */
export enum Guarantee {
  /** The job may run again from the start after a lost answer, but never twice at the same time. */
  BestEffort = "best-effort",
  /** No task of the job starts twice. */
  AtMostOnce = "at-most-once",
}

/** One step of a job: a number of identical tasks. */
export interface JobStep {
  readonly taskCount: number;
  /** Resources that each task uses on its worker. */
  readonly resources: Resources;
  /** The client's rough estimate of a task's run time. */
  readonly estimatedMilliseconds: Milliseconds;
  /** Indexes of earlier steps whose tasks must all have completed first. */
  readonly dependsOn: readonly number[];
  /** Label that the worker must have. */
  readonly requiredLabel?: string;
  /** Rack that holds the data; the tasks run faster there. Placement does not use it. */
  readonly preferredRack?: string;
  /** How many tasks of the step may run on one worker. */
  readonly maximumPerWorker?: number;
}

/** A job as a client account submitted it. */
export interface BestEffortJob {
  /** Opaque text for the worker. */
  readonly content: string;
  readonly steps: readonly JobStep[];
}

/** Job features that are not implemented. A job that requires one is refused and never runs. */
export enum UnsupportedFeature {
  DurableJob = "durable-job",
  Occurrences = "occurrences",
  GangScheduling = "gang-scheduling",
  LongRunningTasks = "long-running-tasks",
}

/** Kinds of job requests. */
export enum JobRequestKind {
  Runnable = "runnable",
  Unsupported = "unsupported",
  Malformed = "malformed",
}

/** A job that can be run. */
export interface RunnableJobRequest {
  readonly kind: JobRequestKind.Runnable;
  readonly job: BestEffortJob;
}

/** A job that requires a feature that is not implemented. */
export interface UnsupportedJobRequest {
  readonly kind: JobRequestKind.Unsupported;
  readonly feature: UnsupportedFeature;
}

/** A request body that is not a valid job. */
export interface MalformedJobRequest {
  readonly kind: JobRequestKind.Malformed;
  readonly detail: string;
}

/** A client account's request body, parsed. */
export type JobRequest =
  | RunnableJobRequest
  | UnsupportedJobRequest
  | MalformedJobRequest;

/** A task of a best-effort job. */
export interface JobTaskReference {
  /** Identifier of the job, chosen by the client account. */
  readonly job: string;
  readonly step: number;
  readonly index: number;
}

/** Returns a string that identifies a task, for map keys and log lines. */
export function jobTaskKey({ job, step, index }: JobTaskReference): string {
  return `${job}.${step}.${index}`;
}
