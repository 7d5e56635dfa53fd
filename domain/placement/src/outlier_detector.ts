/**
 * Finds a runner that fails far more tasks than its peers. Such a runner answers fast and so looks idle,
 * and would draw in ever more work; it gets one task at a time, ever more rarely, until one succeeds.
 */
import type { Milliseconds } from "@eelgrassfront/model";

const RATE_SMOOTHING = 0.2;
/** Failure rate above which a runner may be an outlier. */
const SUSPICIOUS_RATE = 0.45;
/** How many times the mean failure rate of its peers makes a runner an outlier. */
const PEER_FACTOR = 3;
const FIRST_PAUSE_MILLISECONDS: Milliseconds = 1_000;
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 10_000;
const JOB_TRIAL_DELAY_MILLISECONDS: Milliseconds = 10_000;

/** Recent failures of one runner. */
export class OutlierDetector {
  #rate = 0;
  #pause: Milliseconds = FIRST_PAUSE_MILLISECONDS;
  #nextTrialAt: Milliseconds = 0;

  /** Share of recent tasks that failed, from 0 to 1. */
  get failureRate(): number {
    return this.#rate;
  }

  /** Counts a task that succeeded. */
  recordSuccess(): void {
    this.#rate -= this.#rate * RATE_SMOOTHING;
    this.#pause = FIRST_PAUSE_MILLISECONDS;
    this.#nextTrialAt = 0;
  }

  /** Counts a task that failed. */
  recordFailure(now: Milliseconds): void {
    this.#rate += (1 - this.#rate) * RATE_SMOOTHING;
    if (now < this.#nextTrialAt) return;
    this.#nextTrialAt = now + this.#pause;
    this.#pause = Math.min(2 * this.#pause, LONGEST_PAUSE_MILLISECONDS);
  }

  /** Whether the runner fails far more than its peers do. */
  isOutlier(meanPeerRate: number): boolean {
    return this.#rate > SUSPICIOUS_RATE &&
      this.#rate > PEER_FACTOR * meanPeerRate;
  }

  /**
   * Whether an outlier may be tried with another task. A large job would be lost with its task, and is
   * tried only when no single task came for a while.
   */
  isProbeTaskDue(now: Milliseconds, submissionTasks: number): boolean {
    const patience = submissionTasks === 1 ? 0 : JOB_TRIAL_DELAY_MILLISECONDS;
    return now >= this.#nextTrialAt + patience;
  }
}
