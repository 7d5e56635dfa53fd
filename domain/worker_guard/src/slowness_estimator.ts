/**
 * Estimates the slowness of a worker from the progress of its active runs: the elapsed time divided by the
 * expected time of the same progress. Active runs count before they end, so a worker that becomes slow, or
 * whose tasks make no progress, is detected within a few hundred milliseconds.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { RunPhase, type WorkerRun } from "./worker_run.ts";

/** Progress of a completed run. */
export const COMPLETE_PERCENT = 100;

/** Half-life of an observation's weight: a few lists of runs. */
const HALF_LIFE_MILLISECONDS: Milliseconds = 300;
/** Observed run time that a first estimate needs: the length of the shortest tasks. */
const MINIMUM_ELAPSED_MILLISECONDS: Milliseconds = 100;
/** Upper bound of the slowness; beyond it the exact value does not matter. */
const MAXIMUM_SLOWNESS = 20;

/** Estimates the slowness of one worker incarnation. */
export class SlownessEstimator {
  #elapsed: Milliseconds = 0;
  #expected: Milliseconds = 0;
  #observedAt: Milliseconds = 0;
  #slowness = 1;

  /** Run time of tasks as a multiple of the expected time; 1 until enough progress is observed. */
  get slowness(): number {
    return this.#slowness;
  }

  /** Observes the progress of a run since the last list. */
  observe(
    now: Milliseconds,
    { state, expectedMilliseconds }: WorkerRun,
    percent: number,
  ): void {
    if (state.phase !== RunPhase.Running) return;
    const progress = (percent - state.percent) / COMPLETE_PERCENT;
    const weight = 0.5 ** ((now - this.#observedAt) / HALF_LIFE_MILLISECONDS);
    this.#observedAt = now;
    this.#elapsed = this.#elapsed * weight + now - state.listedAt;
    this.#expected = this.#expected * weight + expectedMilliseconds * progress;
    if (this.#elapsed < MINIMUM_ELAPSED_MILLISECONDS) return;
    this.#slowness = Math.min(
      MAXIMUM_SLOWNESS,
      this.#elapsed / Math.max(1, this.#expected),
    );
  }
}
