/**
 * Arrival rate of work by priority. More urgent work that arrives later overtakes a waiting job, so only
 * the capacity that such work leaves unused serves that job.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Averaging time of the rates: long compared with the gap between jobs, short compared with a burst. */
const AVERAGING_MILLISECONDS: Milliseconds = 1_000;

interface ArrivalRate {
  /** Rate at `updatedAt`: millicores that the arriving work keeps busy. */
  millicores: number;
  updatedAt: Milliseconds;
}

/** Arrival rates by priority. Each rate decays exponentially from its latest arrival on. */
export class ArrivalRates {
  readonly #byPriority = new Map<number, ArrivalRate>();

  /** Adds the work of a job, in millicores times milliseconds. */
  add(now: Milliseconds, priority: number, work: number): void {
    const rate = this.#byPriority.get(priority) ??
      { millicores: 0, updatedAt: now };
    rate.millicores = decayedMillicores(rate, now) +
      work / AVERAGING_MILLISECONDS;
    rate.updatedAt = now;
    this.#byPriority.set(priority, rate);
  }

  /** Millicores that work more urgent than `priority` (a lower number) keeps busy. */
  moreUrgentMillicores(now: Milliseconds, priority: number): number {
    let sum = 0;
    for (const [other, rate] of this.#byPriority) {
      if (other < priority) sum += decayedMillicores(rate, now);
    }
    return sum;
  }
}

function decayedMillicores(
  { millicores, updatedAt }: ArrivalRate,
  now: Milliseconds,
): number {
  return millicores * Math.exp((updatedAt - now) / AVERAGING_MILLISECONDS);
}
