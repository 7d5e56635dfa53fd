/**
 * Response times of a worker, and the time after which a call to it counts as unanswered: the mean and four
 * mean deviations, as TCP computes its retransmission timeout (RFC 6298). A worker that answers at once has a lost
 * call replaced in time; one that is slow to answer keeps what it starts.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Shortest timeout: a part of what the objective of the shortest tasks leaves for a second start. */
const MINIMUM_TIMEOUT_MILLISECONDS: Milliseconds = 15;
/** Longest timeout after the first response. */
const MAXIMUM_TIMEOUT_MILLISECONDS: Milliseconds = 60;
/** Timeout before the first response, which a worker that has just started gives late. */
const INITIAL_TIMEOUT_MILLISECONDS: Milliseconds = 200;
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATIONS = 4;

/** Estimates the timeout of calls to one worker. */
export class ResponseTimes {
  #mean: Milliseconds | undefined;
  #deviation: Milliseconds = 0;
  /** Factor that doubles with each unanswered call until the next response. */
  #backoff = 1;

  /** Time after which a call that does not wait counts as unanswered. */
  get timeout(): Milliseconds {
    if (this.#mean === undefined) return INITIAL_TIMEOUT_MILLISECONDS;
    const expected = this.#mean + DEVIATIONS * this.#deviation;
    return Math.min(
      MAXIMUM_TIMEOUT_MILLISECONDS,
      Math.max(MINIMUM_TIMEOUT_MILLISECONDS, expected) * this.#backoff,
    );
  }

  /** Records the response to a call that does not wait. */
  recordResponse(elapsed: Milliseconds): void {
    this.#backoff = 1;
    if (this.#mean === undefined) {
      this.#mean = elapsed;
      this.#deviation = elapsed / 2;
      return;
    }
    const difference = elapsed - this.#mean;
    this.#mean += MEAN_WEIGHT * difference;
    this.#deviation += DEVIATION_WEIGHT *
      (Math.abs(difference) - this.#deviation);
  }

  /** Records a call without an answer. */
  recordUnanswered(): void {
    this.#backoff = Math.min(
      2 * this.#backoff,
      MAXIMUM_TIMEOUT_MILLISECONDS / MINIMUM_TIMEOUT_MILLISECONDS,
    );
  }
}
