/**
 * Tests the order of waiting work and the cut-off between entries.
 */
import { test } from "node:test";
import { expect } from "earl";
import { isMoreUrgentWaiting, isWithinFloor } from "./capacity_floor.ts";
import {
  compareUrgency,
  isRefused,
  Prospect,
  prospectOf,
  type Urgency,
} from "./urgency.ts";

const WORK: Urgency = {
  priority: 1,
  hasStarted: false,
  isLate: false,
  workPerCaller: 100,
  startBy: 1_000,
};
const TIMES = { startBy: 100, deadlineAt: 500, expectedRunMilliseconds: 80 };

/** Expects that the first of two pieces of work is served first, whichever way they are compared. */
function expectOrder(first: Urgency, second: Urgency): void {
  expect(compareUrgency(first, second)).toBeLessThan(0);
  expect(compareUrgency(second, first)).toBeGreaterThan(0);
}

test("small work of a lower priority does not overtake large urgent work", () => {
  const urgent = { ...WORK, priority: 0, workPerCaller: 9_000, isLate: true };
  expectOrder(urgent, { ...WORK, workPerCaller: 1, hasStarted: true });
});

test("work that has started is not left incomplete for smaller work", () => {
  const started = { ...WORK, hasStarted: true, workPerCaller: 9_000 };
  expectOrder(started, { ...WORK, workPerCaller: 1 });
});

test("a large piece of work does not delay several small ones with a later objective", () => {
  expectOrder({ ...WORK, startBy: 2_000 }, { ...WORK, workPerCaller: 200 });
});

test("work that is late does not delay work that is in time", () => {
  expectOrder(
    { ...WORK, workPerCaller: 200 },
    { ...WORK, isLate: true, workPerCaller: 1 },
  );
});

test("work that has started is completed by its objective, not by its size", () => {
  const started = { ...WORK, hasStarted: true };
  expectOrder(
    { ...started, startBy: 10, workPerCaller: 900 },
    { ...started, startBy: 20 },
  );
});

test("work that cannot end before its deadline is not called late, and is refused", () => {
  const prospects = [100, 101, 420, 421].map((now) => prospectOf(TIMES, now));
  expect(prospects).toEqual([
    Prospect.InTime,
    Prospect.Late,
    Prospect.Late,
    Prospect.Hopeless,
  ]);
  expect(prospects.map(isRefused)).toEqual([false, true, true, true]);
});

test("a short deadline makes work hopeless before its objective has passed", () => {
  const times = { ...TIMES, deadlineAt: 150 };
  expect(prospectOf(times, 71)).toEqual(Prospect.Hopeless);
});

test("work of the same or a lower priority elsewhere does not hold work back", () => {
  const waiting = [{ priority: 1 }, { priority: 2 }];
  expect(isMoreUrgentWaiting(waiting, 1)).toEqual(false);
  expect(isMoreUrgentWaiting(waiting, 2)).toEqual(true);
});

test("less urgent work does not starve, and gets no more than a third", () => {
  const requestedMillicores = 1_000;
  const use = (totalMillicores: number, lessUrgentMillicores: number) =>
    isWithinFloor({
      totalMillicores,
      lessUrgentMillicores,
      requestedMillicores,
    });
  expect(use(0, 0)).toEqual(true);
  expect(use(2_000, 0)).toEqual(true);
  expect(use(2_000, 1_000)).toEqual(false);
  expect(use(5_000, 1_000)).toEqual(true);
  expect(use(1_000, 1_000)).toEqual(false);
});
