/**
 * Speeds of kinds of worker: a healthy worker of a slower kind must not count as slow, and small differences must not
 * decide where tasks run.
 */
import { test } from "node:test";
import { expect } from "earl";
import { KindSpeeds } from "./kind_speeds.ts";

const FAST = { labels: ["b", "rack-1"] };
const SLOW = { labels: ["a", "rack-1"] };

function speedsAfter(runs: number, slowMilliseconds: number): KindSpeeds {
  const speeds = new KindSpeeds();
  for (let run = 0; run < runs; run += 1) {
    speeds.observe(FAST, "scan", 100);
    speeds.observe(SLOW, "scan", slowMilliseconds);
  }
  return speeds;
}

test("a kind that takes more than twice as long is known by its factor", () => {
  const speeds = speedsAfter(50, 240);
  expect(speeds.relativeRunTime(FAST)).toEqual(1);
  expect(Math.abs(speeds.relativeRunTime(SLOW) - 2.4) < 0.01).toEqual(true);
});

test("kinds that differ by less than twice the run time count as equal", () => {
  const speeds = speedsAfter(50, 160);
  expect(speeds.relativeRunTime(SLOW)).toEqual(1);
});

test("a few runs do not tell kinds apart", () => {
  const speeds = speedsAfter(10, 240);
  expect(speeds.relativeRunTime(SLOW)).toEqual(1);
});

test("a few runs that take seven times as long do not make their kind a slower one", () => {
  const speeds = new KindSpeeds();
  for (let run = 0; run < 200; run += 1) {
    speeds.observe(FAST, "scan", 100);
    speeds.observe(SLOW, "scan", run % 33 === 0 ? 700 : 100);
  }
  expect(speeds.areDistinct).toEqual(false);
});

test("a worker without labels has no kind", () => {
  const speeds = speedsAfter(50, 240);
  speeds.observe({ labels: [] }, "scan", 1_000);
  expect(speeds.relativeRunTime({ labels: [] })).toEqual(1);
});

test("kinds count as equal again once the slower one has become as fast", () => {
  const speeds = speedsAfter(50, 240);
  for (let run = 0; run < 400; run += 1) speeds.observe(SLOW, "scan", 110);
  expect(speeds.areDistinct).toEqual(false);
});

test("kinds are compared by the same kind of work, however much longer another one runs", () => {
  const speeds = new KindSpeeds();
  for (let run = 0; run < 50; run += 1) {
    speeds.observe(FAST, "calculation", 1_200);
    speeds.observe(SLOW, "scan", 80);
  }
  expect(speeds.areDistinct).toEqual(false);
});
