/**
 * Best-effort jobs: steps of equal tasks, answered when the job has ended and kept nowhere. A job whose
 * answer was lost may be run again from the start, but never twice at the same time.
 */
import type { Milliseconds } from "./identifiers.ts";
import type { Resources } from "./resources.ts";

/** What the system promises of a job's runs. */
export enum Guarantee {
  /** The job may run again from the start after a lost answer, never twice at once. */
  BestEffort = "best-effort",
  /** No task of the job starts twice. */
  AtMostOnce = "at-most-once",
}

/** One step of a job: a number of equal tasks. */
export interface JobStep {
  readonly taskCount: number;
  /** What each task takes of its worker. */
  readonly resources: Resources;
  /** The caller's rough estimate of a task's run time. */
  readonly estimatedMilliseconds: Milliseconds;
  /** Indexes of earlier steps whose tasks must all have completed first. */
  readonly dependsOn: readonly number[];
  /** Label that the worker must have. */
  readonly requiredLabel?: string;
  /** Rack that holds the data; the tasks run faster there. */
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

/** Features of a job that are not built. A job that asks for one is refused and never runs. */
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

/** A job that asks for what is not built. */
export interface UnsupportedJobRequest {
  readonly kind: JobRequestKind.Unsupported;
  readonly feature: UnsupportedFeature;
}

/** What cannot be read as a job. */
export interface MalformedJobRequest {
  readonly kind: JobRequestKind.Malformed;
  readonly detail: string;
}

/** What a client account handed in. */
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

/** Text that names a task, for maps and log lines. */
export function jobTaskKey({ job, step, index }: JobTaskReference): string {
  return `${job}.${step}.${index}`;
}
