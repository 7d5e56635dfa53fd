/**
 * Run times are learnt for each team and kind of work, and one long task moves them little.
 */
import { test } from "node:test";
import { expect } from "earl";
import { RunTimeEstimator } from "./run_time_estimator.ts";

test("an estimate follows what was measured", () => {
  const estimates = new RunTimeEstimator();
  const flow = { team: "team", kindOfWork: "kind" };
  for (let count = 0; count < 500; count += 1) estimates.observe(flow, 80);
  expect(Math.round(estimates.estimate(flow))).toEqual(80);
  estimates.observe(flow, 5_000);
  expect(estimates.estimate(flow)).toBeLessThan(200);
});

test("the first tasks of a kind already tell its run time", () => {
  const estimates = new RunTimeEstimator();
  const flow = { team: "team", kindOfWork: "kind" };
  for (const milliseconds of [1_200, 1_400]) {
    estimates.observe(flow, milliseconds);
  }
  expect(estimates.estimate(flow)).toEqual(1_300);
});

test("a new team starts from what its kind of work takes", () => {
  const estimates = new RunTimeEstimator();
  for (let count = 0; count < 500; count += 1) {
    estimates.observe({ team: "known", kindOfWork: "kind" }, 80);
  }
  const expected = estimates.estimate({ team: "new", kindOfWork: "kind" });
  expect(Math.round(expected)).toEqual(80);
});
