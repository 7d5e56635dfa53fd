/**
 * Jobs that have ended at an entry while runs of theirs may be left: attempts that are being cancelled, and those
 * at a sidecar whose session was lost.
 */
import {
  MAXIMUM_SESSION_MILLISECONDS,
  type Milliseconds,
} from "@eelgrassfront/model";
import { type DispatchJob, TaskPhase } from "./dispatch_job.ts";
import type { TaskAttemptIndex } from "./task_attempt_index.ts";

/**
 * Time for which tasks may run after their session has ended: the longest lease, with a worker's clock that runs
 * slow, and the transit of the call that renewed it.
 */
export const RUN_AFTER_SESSION_MILLISECONDS: Milliseconds = 1_120;
/** Time after the latest message of an entry in which tasks that it has placed may run. */
export const RUN_AFTER_SILENCE_MILLISECONDS: Milliseconds =
  MAXIMUM_SESSION_MILLISECONDS + RUN_AFTER_SESSION_MILLISECONDS;

/** Tells whether runs of a job that an entry no longer holds may be left. */
export class EndingRuns {
  readonly #attempts: TaskAttemptIndex;
  /** When the last run of a job at a lost sidecar has certainly ended. */
  readonly #endsAt = new Map<string, Milliseconds>();

  constructor(attempts: TaskAttemptIndex) {
    this.#attempts = attempts;
  }

  /** Records a job that the entry no longer holds. */
  record(job: DispatchJob, now: Milliseconds): void {
    for (const [id, endsAt] of this.#endsAt) {
      if (now >= endsAt) this.#endsAt.delete(id);
    }
    const endsAt = Math.max(
      this.#endsAt.get(job.id) ?? 0,
      ...job.tasks.map(({ phase, notBefore }) =>
        phase === TaskPhase.Ready ? notBefore : 0
      ),
    );
    if (endsAt > now) this.#endsAt.set(job.id, endsAt);
  }

  /** Whether runs of a job may be left. */
  has(id: string, now: Milliseconds): boolean {
    return now < (this.#endsAt.get(id) ?? 0) || this.#attempts.hasJob(id);
  }
}
