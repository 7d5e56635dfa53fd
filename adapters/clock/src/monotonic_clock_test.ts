/**
 * The alarm of a process fires once and not before its time, also after it has moved: a lost alarm would stop the
 * process's decisions, and an early one would repeat them.
 */
import { test } from "node:test";
import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { expect } from "earl";
import { MonotonicClock } from "./monotonic_clock.ts";

const SOON = 20;
const LATER = 40;
const NEVER = 60_000;

test("an alarm that moves to a later time fires once, at that time", async () => {
  await using alarms = new Alarms();
  alarms.set(SOON);
  const at = alarms.set(LATER);
  await alarms.next();
  expect(alarms.clock.now() > at - 1).toEqual(true);
  await alarms.wait(LATER);
  expect(alarms.count).toEqual(1);
});

test("an alarm that moves to an earlier time fires once", async () => {
  await using alarms = new Alarms();
  alarms.set(NEVER);
  const at = alarms.set(SOON);
  await alarms.next();
  expect(alarms.clock.now() > at - 1).toEqual(true);
  await alarms.wait(LATER);
  expect(alarms.count).toEqual(1);
});

test("an alarm that is cleared does not fire", async () => {
  await using alarms = new Alarms();
  alarms.set(SOON);
  alarms.clock.setAlarm(undefined);
  await alarms.wait(LATER);
  expect(alarms.count).toEqual(0);
});

test("an alarm that is set again after it was cleared fires", async () => {
  await using alarms = new Alarms();
  const at = alarms.set(SOON);
  alarms.clock.setAlarm(undefined);
  alarms.clock.setAlarm(at);
  await alarms.next();
  expect(alarms.count).toEqual(1);
});

test("an alarm that is due when it is set fires again after it has fired", async () => {
  await using alarms = new Alarms();
  const at = alarms.set(0);
  await alarms.next();
  alarms.clock.setAlarm(at);
  await alarms.next();
  expect(alarms.count).toEqual(2);
});

/** Counts the alarms of a clock. */
class Alarms implements AsyncDisposable {
  readonly clock = new MonotonicClock();
  count = 0;
  #onAlarm: () => void = () => {};

  constructor() {
    const alarms = tap(() => {
      this.count += 1;
      this.#onAlarm();
    }, this.clock.inputs);
    void runEffects(alarms, newDefaultScheduler());
  }

  /** Sets the alarm to a time from now, in milliseconds; returns the reading of the clock at that time. */
  set(delay: number): number {
    const at = this.clock.now() + delay;
    this.clock.setAlarm(at);
    return at;
  }

  /** Resolves at the next alarm. */
  next(): Promise<void> {
    return new Promise((resolve) => this.#onAlarm = resolve);
  }

  wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.clock[Symbol.asyncDispose]();
  }
}
