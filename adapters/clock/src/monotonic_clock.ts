/**
 * Clock of a process: Node's monotonic time and one timer.
 */
import {
  type AlarmFired,
  InputKind,
  type Milliseconds,
} from "@eelgrassfront/model";
import type { ClockPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";

/**
 * Monotonic clock with one alarm, which may fire less than 1 ms early, because timers of Node count
 * whole milliseconds.
 */
export class MonotonicClock implements ClockPort {
  readonly inputs: Stream<AlarmFired>;
  readonly #emit: (alarm: AlarmFired) => void;
  #timer: NodeJS.Timeout | undefined;
  #alarmAt: Milliseconds | undefined;

  constructor() {
    [this.#emit, this.inputs] = createAdapter<AlarmFired>();
  }

  now(): Milliseconds {
    return performance.now();
  }

  setAlarm(at: Milliseconds | undefined): void {
    if (at === this.#alarmAt && this.#timer !== undefined) return;
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#alarmAt = at;
    if (at === undefined) return;
    const delay = Math.max(1, Math.ceil(at - this.now()));
    this.#timer = setTimeout(() => this.#fire(), delay);
  }

  [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.#timer);
    return Promise.resolve();
  }

  #fire(): void {
    this.#timer = undefined;
    this.#emit({ kind: InputKind.AlarmFired });
  }
}
