/**
 * Renewals that a sidecar reads late: they were held up on their way, or the sidecar is slow.
 */
import { test } from "node:test";
import { expect } from "earl";
import { ENTRY, WorkerGuardHarness } from "./worker_guard_harness.ts";

test("renewals that are read late do not extend a session beyond the time that its entry counts on", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  for (const now of [190, 390, 590, 780]) {
    harness.advanceTo(now);
    harness.renewSession(ENTRY, now, { knownClock: 0 });
  }
  expect(harness.takeCalls("stop")).toEqual([]);
  harness.advanceTo(800);
  expect(harness.takeCalls("stop").length).toEqual(1);
});

test("renewals that are read in time keep a session open", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  for (let now = 190; now <= 2_000; now += 190) {
    harness.advanceTo(now);
    harness.renewSession(ENTRY, now, { knownClock: now - 190 });
  }
  expect(harness.takeCalls("stop")).toEqual([]);
});
