/**
 * Token bucket for each event number, so that the volume of the log does not grow with the load.
 * Suppressed lines are counted, and the next line with the same number carries the count.
 */
import type { EventNumber, Milliseconds } from "@eelgrassfront/model";

/** Lines per second for one event number. */
const LINES_PER_SECOND = 40;
/** Lines that one event number may write at once after an idle period. */
const BURST_LINES = 120;
const MILLISECONDS_PER_SECOND = 1_000;

interface TokenBucket {
  tokens: number;
  refilledAt: Milliseconds;
  suppressed: number;
}

/** Limits the rate of lines of each event number. */
export class EventRateLimiter {
  readonly #buckets = new Map<EventNumber, TokenBucket>();

  /**
   * Takes a token for a line with an event number.
   *
   * @returns the number of lines suppressed since the last one with this number, or undefined when this
   * line is suppressed too
   */
  admit(number: EventNumber, now: Milliseconds): number | undefined {
    const bucket = this.#buckets.get(number) ??
      { tokens: BURST_LINES, refilledAt: now, suppressed: 0 };
    this.#buckets.set(number, bucket);
    const refill = (now - bucket.refilledAt) * LINES_PER_SECOND /
      MILLISECONDS_PER_SECOND;
    bucket.tokens = Math.min(BURST_LINES, bucket.tokens + refill);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
      bucket.suppressed += 1;
      return undefined;
    }
    bucket.tokens -= 1;
    const { suppressed } = bucket;
    bucket.suppressed = 0;
    return suppressed;
  }
}
