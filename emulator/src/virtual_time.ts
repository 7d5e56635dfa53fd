/**
 * A discrete-event scheduler. Actions run in the order of their times; actions with equal times run in the
 * order in which they were scheduled. Runs with the same seed are therefore identical.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import TinyQueue from "tinyqueue";

interface ScheduledAction {
  readonly at: Milliseconds;
  readonly order: number;
  readonly act: () => void;
}

/** A virtual clock that advances to the time of the next scheduled action. */
export class VirtualTime {
  readonly #actions = new TinyQueue<ScheduledAction>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );
  #now: Milliseconds = 0;
  #scheduled = 0;

  /** The current virtual time. */
  get now(): Milliseconds {
    return this.#now;
  }

  /** Schedules an action after a delay; a negative delay counts as 0. */
  after(delay: Milliseconds, act: () => void): void {
    this.#scheduled += 1;
    const at = this.#now + Math.max(0, delay);
    this.#actions.push({ at, order: this.#scheduled, act });
  }

  /**
   * Runs all actions whose time is at most `until`, and sets the clock to it.
   *
   * @param maximumAtOnce limit on consecutive actions at the same virtual time
   * @throws {RangeError} when the limit is exceeded, for example by a process that sets an alarm for the
   * current time again and again
   */
  runUntil(until: Milliseconds, maximumAtOnce = Infinity): void {
    let atOnce = 0;
    while ((this.#actions.peek()?.at ?? Infinity) <= until) {
      const action = this.#actions.pop();
      if (action === undefined) break;
      atOnce = action.at > this.#now ? 0 : atOnce + 1;
      if (atOnce > maximumAtOnce) {
        throw new RangeError(
          `${atOnce} actions at the same time, ${this.#now} ms`,
        );
      }
      this.#now = action.at;
      action.act();
    }
    this.#now = until;
  }
}
