/**
 * Tasks that may have crashed the worker that ran them, as a sidecar names them.
 */
import type { JobTaskReference } from "./best_effort_job.ts";
import type { Milliseconds } from "./identifiers.ts";

/** What is known of a run that may have crashed its worker. */
export enum CrashProof {
  /** The worker had confirmed the run, and ran no other job. */
  Alone = "alone",
  /** The worker had confirmed the run, and ran other jobs, too. */
  Shared = "shared",
  /** The worker had not confirmed the run. */
  Unconfirmed = "unconfirmed",
}

/**
 * Time after the start of a run in which it is the likely cause of a crash: a task that crashes each worker
 * that starts it does so early, and the sidecar notices the crash some tens of milliseconds later.
 */
export const SUSPICION_MILLISECONDS: Milliseconds = 150;

/** A task that was started shortly before its worker crashed. */
export interface CrashSuspect {
  readonly task: JobTaskReference;
  /** What is known of the run; sidecars of earlier versions do not say it. */
  readonly proof?: CrashProof;
  /** Kind of work, where the task ran apart: then hardly another task has crashed the worker. */
  readonly route?: string;
  /** Kind of work of the task, if its entry has said it. */
  readonly workKind?: string;
}
