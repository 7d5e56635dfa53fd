/**
 * Tests that polls which a worker executes late, with leases that count from then, extend no run whose task
 * runs elsewhere.
 */
import { test } from "node:test";
import { type Milliseconds, WorkerCallKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 10_000;

test("polls of a killed sidecar that are executed late do not keep a task running that runs elsewhere", () => {
  const harness = new OverlappingRunsHarness();
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const vm = harness.busyVm();
  harness.delayCalls(vm, WorkerCallKind.PollRuns, [2_100, 2_500]);
  harness.advance(1_600);
  harness.system.kill(vm);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.starts).toEqual(2);
  expect(harness.overlaps).toEqual([]);
});

test("polls of a paused sidecar that are executed late do not keep a task running that runs elsewhere", () => {
  const harness = new OverlappingRunsHarness();
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const vm = harness.busyVm();
  harness.delayCalls(vm, WorkerCallKind.PollRuns, [2_100, 2_500]);
  harness.advance(1_600);
  vm.process.pause();
  harness.advance(RUN_MILLISECONDS);
  expect(harness.starts).toEqual(2);
  expect(harness.overlaps).toEqual([]);
});
