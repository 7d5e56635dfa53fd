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

/** Earliest time before its alarm at which a timer fires, because timers of Node count whole milliseconds. */
const TIMER_RESOLUTION_MILLISECONDS: Milliseconds = 1;

/**
 * Monotonic clock with one alarm, which may fire less than 1 ms early. The timer stays armed when the alarm moves
 * to a later time, as it does after almost every input, and is armed again when it fires: Node wakes the process at
 * the earlier time also after the timer was cleared.
 */
export class MonotonicClock implements ClockPort {
  readonly inputs: Stream<AlarmFired>;
  readonly #emit: (alarm: AlarmFired) => void;
  #timer: NodeJS.Timeout | undefined;
  /** Time for which the timer is armed. */
  #armedAt: Milliseconds = Infinity;
  #alarmAt: Milliseconds | undefined;

  constructor() {
    [this.#emit, this.inputs] = createAdapter<AlarmFired>();
  }

  now(): Milliseconds {
    return performance.now();
  }

  setAlarm(at: Milliseconds | undefined): void {
    this.#alarmAt = at;
    if (at === undefined || at >= this.#armedAt) return;
    clearTimeout(this.#timer);
    this.#arm(at);
  }

  [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.#timer);
    return Promise.resolve();
  }

  #arm(at: Milliseconds): void {
    this.#armedAt = at;
    const delay = Math.max(1, Math.ceil(at - this.now()));
    this.#timer = setTimeout(() => this.#fire(), delay);
  }

  #fire(): void {
    this.#armedAt = Infinity;
    const at = this.#alarmAt;
    if (at === undefined) return;
    if (at - this.now() >= TIMER_RESOLUTION_MILLISECONDS) this.#arm(at);
    else this.#emit({ kind: InputKind.AlarmFired });
  }
}
