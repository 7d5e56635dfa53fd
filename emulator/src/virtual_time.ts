/**
 * Virtual time: actions run in the order of their time, and of their scheduling where times are equal,
 * so that a run with the same seed is always the same.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import TinyQueue from "tinyqueue";

interface ScheduledAction {
  readonly at: Milliseconds;
  readonly order: number;
  readonly act: () => void;
}

/** A clock that jumps from one action to the next. */
export class VirtualTime {
  readonly #actions = new TinyQueue<ScheduledAction>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );
  #now: Milliseconds = 0;
  #scheduled = 0;

  /** The present moment. */
  get now(): Milliseconds {
    return this.#now;
  }

  /** Runs an action after a delay. */
  after(delay: Milliseconds, act: () => void): void {
    this.#scheduled += 1;
    const at = this.#now + Math.max(0, delay);
    this.#actions.push({ at, order: this.#scheduled, act });
  }

  /**
   * Runs every action up to a moment.
   *
   * @param maximumAtOnce the actions that may run without time passing
   * @throws {RangeError} when more run, as when a process wakes itself again and again
   */
  runUntil(moment: Milliseconds, maximumAtOnce = Infinity): void {
    let atOnce = 0;
    while ((this.#actions.peek()?.at ?? Infinity) <= moment) {
      const action = this.#actions.pop();
      if (action === undefined) break;
      atOnce = action.at > this.#now ? 0 : atOnce + 1;
      if (atOnce > maximumAtOnce) {
        throw new RangeError(`${atOnce} actions at ${this.#now} ms`);
      }
      this.#now = action.at;
      action.act();
    }
    this.#now = moment;
  }
}
