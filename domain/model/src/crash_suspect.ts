/**
 * Tasks that may have crashed the worker that ran them, as a sidecar names them.
 */
import type { JobTaskReference } from "./best_effort_job.ts";
import { InterruptionReason } from "./dispatch_message.ts";
import type { Milliseconds } from "./identifiers.ts";

/** The reasons of runs that may have crashed their worker. */
export const CRASH_REASONS = [
  InterruptionReason.WorkerCrashed,
  InterruptionReason.SharedCrash,
  InterruptionReason.UnconfirmedCrash,
] as const;

/** What is known of a run that may have crashed its worker. */
export type CrashReason = (typeof CRASH_REASONS)[number];

/**
 * Time after the start of a run in which it is the likely cause of a crash: a task that crashes each worker
 * that starts it does so early, and the sidecar notices the crash some tens of milliseconds later.
 */
export const SUSPICION_MILLISECONDS: Milliseconds = 150;

/** A task that was started shortly before its worker crashed. */
export interface CrashSuspect {
  readonly task: JobTaskReference;
  /** What is known of the run; sidecars of earlier versions do not say it. */
  readonly reason?: CrashReason;
  /** Kind of work, where the task ran apart: then hardly another task has crashed the worker. */
  readonly route?: string;
  /** Kind of work of the task, if its entry has said it. */
  readonly workKind?: string;
}
