/**
 * The earliest deadline is kept between steps; a stale one would let a job miss its deadline or wake the entry in
 * vain.
 */
import { test } from "node:test";
import { expect } from "earl";
import { JobDeadlines } from "./job_deadlines.ts";

const EARLY = { deadlineAt: 10 };
const MIDDLE = { deadlineAt: 20 };
const LATE = { deadlineAt: 30 };

test("a job that is accepted later may have the earliest deadline", () => {
  const deadlines = new JobDeadlines();
  deadlines.add(MIDDLE);
  expect(deadlines.earliest([MIDDLE])).toEqual(20);
  deadlines.add(LATE);
  deadlines.add(EARLY);
  expect(deadlines.earliest([MIDDLE, LATE, EARLY])).toEqual(10);
});

test("the deadline of a job that has ended is no longer the earliest", () => {
  const deadlines = new JobDeadlines();
  for (const job of [EARLY, MIDDLE, LATE]) deadlines.add(job);
  deadlines.remove(LATE);
  expect(deadlines.earliest([EARLY, MIDDLE])).toEqual(10);
  deadlines.remove(EARLY);
  deadlines.add(LATE);
  expect(deadlines.earliest([MIDDLE, LATE])).toEqual(20);
});

test("there is no deadline without jobs", () => {
  const deadlines = new JobDeadlines();
  expect(deadlines.earliest([])).toEqual(Infinity);
  deadlines.add(EARLY);
  deadlines.remove(EARLY);
  expect(deadlines.earliest([])).toEqual(Infinity);
});
