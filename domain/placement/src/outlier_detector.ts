/**
 * Outlier ejection of runners that fail far more tasks than their peers. Such a runner replies fast, looks
 * idle and would attract more and more tasks. While it is an outlier it gets single probe tasks at growing
 * intervals, until one succeeds.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Weight of the latest task in the moving average of the failure rate. */
const SMOOTHING_FACTOR = 0.2;
/** Failure rate above which a runner may be an outlier. */
const MINIMUM_OUTLIER_RATE = 0.45;
/** Multiple of its peers' mean failure rate above which a runner may be an outlier. */
const PEER_FACTOR = 3;
const INITIAL_BACKOFF_MILLISECONDS: Milliseconds = 1_000;
const MAXIMUM_BACKOFF_MILLISECONDS: Milliseconds = 10_000;
/** Additional backoff for a probe task of a job with several tasks. */
const LARGE_JOB_DELAY_MILLISECONDS: Milliseconds = 10_000;

/** Failure rate of one runner and the backoff of its probe tasks. */
export class OutlierDetector {
  #failureRate = 0;
  #backoff: Milliseconds = INITIAL_BACKOFF_MILLISECONDS;
  #nextProbeAt: Milliseconds = 0;

  /** Moving average of the share of failed tasks, from 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Counts a successful task; the backoff starts over. */
  recordSuccess(): void {
    this.#failureRate -= this.#failureRate * SMOOTHING_FACTOR;
    this.#backoff = INITIAL_BACKOFF_MILLISECONDS;
    this.#nextProbeAt = 0;
  }

  /** Counts a failed task; the backoff doubles, unless it is still running. */
  recordFailure(now: Milliseconds): void {
    this.#failureRate += (1 - this.#failureRate) * SMOOTHING_FACTOR;
    if (now < this.#nextProbeAt) return;
    this.#nextProbeAt = now + this.#backoff;
    this.#backoff = Math.min(2 * this.#backoff, MAXIMUM_BACKOFF_MILLISECONDS);
  }

  /** Whether the runner fails so often that it is an outlier unless its peers fail as well. */
  get mayBeOutlier(): boolean {
    return this.#failureRate > MINIMUM_OUTLIER_RATE;
  }

  /** Returns whether the runner fails far more often than its peers. */
  isOutlier(meanPeerRate: number): boolean {
    return this.mayBeOutlier &&
      this.#failureRate > PEER_FACTOR * meanPeerRate;
  }

  /**
   * Returns whether an outlier may get another probe task. A failed probe task can fail its whole job, so
   * a task of a larger job becomes a probe task only if no single-task job arrived for a while.
   */
  isProbeTaskDue(now: Milliseconds, submissionTasks: number): boolean {
    const delay = submissionTasks === 1 ? 0 : LARGE_JOB_DELAY_MILLISECONDS;
    return now >= this.#nextProbeAt + delay;
  }
}
