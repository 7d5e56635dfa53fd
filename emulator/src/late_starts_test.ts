/**
 * Tests that a start call which a worker executes late starts no task that runs elsewhere.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 10_000;

test("a start call of a killed sidecar that is executed late starts no task that runs elsewhere", () => {
  const harness = new OverlappingRunsHarness();
  const vm = harness.submitWithLateStart("job", RUN_MILLISECONDS, 4_000);
  harness.system.kill(vm);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});

test("a start call of a paused sidecar that is executed late starts no task that runs elsewhere", () => {
  const harness = new OverlappingRunsHarness();
  const vm = harness.submitWithLateStart("job", RUN_MILLISECONDS, 4_000);
  vm.process.pause();
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});

test("a start call that reaches the next incarnation of a worker starts no task that runs elsewhere", () => {
  const harness = new OverlappingRunsHarness();
  const vm = harness.submitWithLateStart("job", RUN_MILLISECONDS, 2_000);
  vm.worker?.crash();
  harness.advance(100);
  vm.process.pause();
  harness.advance(900);
  harness.system.startWorker(vm, true);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});
