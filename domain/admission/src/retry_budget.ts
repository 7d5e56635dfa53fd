/**
 * Retry budget: a token bucket that bounds retries to a share of first attempts, so that retries cannot
 * amplify an overload. A slow refill over time allows the last tasks of an otherwise idle owner to be retried.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Size of the bucket: the largest burst of retries. */
const MAXIMUM_TOKENS = 50;
/** Time in which the refill adds one token. */
const REFILL_MILLISECONDS: Milliseconds = 500;

/** Number of retries that are still allowed. */
export class RetryBudget {
  #tokens = MAXIMUM_TOKENS;
  #refilledAt: Milliseconds = 0;

  /** Counts a first attempt, which allows `share` (from 0 to 1) of a retry. */
  deposit(share: number): void {
    this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens + share);
  }

  /** Takes one retry out of the budget. Returns false when the budget is exhausted. */
  tryWithdraw(now: Milliseconds): boolean {
    const elapsed = now - this.#refilledAt;
    this.#refilledAt = now;
    this.#tokens = Math.min(
      MAXIMUM_TOKENS,
      this.#tokens + elapsed / REFILL_MILLISECONDS,
    );
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
