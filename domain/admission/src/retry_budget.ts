/**
 * A bound on retries as a share of first attempts, so that retries cannot feed a flood. A slow refill
 * lets the last tasks of a quiet owner be tried again.
 */
import type { Milliseconds } from "@eelgrassfront/model";

const MAXIMUM_TOKENS = 50;
const REFILL_MILLISECONDS: Milliseconds = 500;

/** Retries that may still be made. */
export class RetryBudget {
  #tokens = MAXIMUM_TOKENS;
  #refilledAt: Milliseconds = 0;

  /** Counts a first attempt; the share of retries is from 0 to 1. */
  deposit(share: number): void {
    this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens + share);
  }

  /** Takes one retry out of the budget; false when it is spent. */
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
