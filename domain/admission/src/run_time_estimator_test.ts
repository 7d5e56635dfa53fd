/**
 * Run times are estimated for each team and kind of work; a single long task changes an estimate little.
 */
import { test } from "node:test";
import { expect } from "earl";
import { RunTimeEstimator } from "./run_time_estimator.ts";

test("an estimate follows the measured run times", () => {
  const estimator = new RunTimeEstimator();
  const key = { team: "team", kindOfWork: "kind" };
  for (let count = 0; count < 500; count += 1) estimator.observe(key, 80);
  expect(Math.round(estimator.estimate(key))).toEqual(80);
  estimator.observe(key, 5_000);
  expect(estimator.estimate(key)).toBeLessThan(200);
});

test("the first tasks of a kind determine its estimate", () => {
  const estimator = new RunTimeEstimator();
  const key = { team: "team", kindOfWork: "kind" };
  for (const milliseconds of [1_200, 1_400]) {
    estimator.observe(key, milliseconds);
  }
  expect(estimator.estimate(key)).toEqual(1_300);
});

test("a new team starts from the estimate of its kind of work", () => {
  const estimator = new RunTimeEstimator();
  for (let count = 0; count < 500; count += 1) {
    estimator.observe({ team: "known", kindOfWork: "kind" }, 80);
  }
  const expected = estimator.estimate({ team: "new", kindOfWork: "kind" });
  expect(Math.round(expected)).toEqual(80);
});
