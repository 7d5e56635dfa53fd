/**
 * Run times of each kind of work, learnt from the tasks that ended. What callers declare is not used:
 * it may be far off either way.
 */
import type { Milliseconds } from "@eelgrassfront/model";

const INITIAL_RUN_MILLISECONDS: Milliseconds = 300;
const SMOOTHING = 0.02;

/** Mean run times by kind of work. */
export class RunTimeEstimates {
  readonly #means = new Map<string, Milliseconds>();

  /** Expected run time of a task. */
  of(kindOfWork: string): Milliseconds {
    return this.#means.get(kindOfWork) ?? INITIAL_RUN_MILLISECONDS;
  }

  /** Takes the run time of a task that ended. */
  learn(kindOfWork: string, runMilliseconds: Milliseconds): void {
    const mean = this.of(kindOfWork);
    this.#means.set(kindOfWork, mean + (runMilliseconds - mean) * SMOOTHING);
  }
}
