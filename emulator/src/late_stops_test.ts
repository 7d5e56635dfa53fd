/**
 * Tests that a task whose stop calls are executed late does not run twice at the same time.
 */
import { test } from "node:test";
import { type Milliseconds, WorkerCallKind } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  OverlappingRunsHarness,
  RESUBMISSION_MILLISECONDS,
} from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 10_000;

test("a cancelled task whose stop calls are executed late does not run beside its job's resubmission", () => {
  const harness = new OverlappingRunsHarness();
  const request = harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const vm = harness.busyVm();
  harness.delayCalls(vm, WorkerCallKind.Stop, Array(14).fill(3_000));
  harness.disconnect(request);
  harness.advance(RESUBMISSION_MILLISECONDS);
  harness.submit(1, "job", RUN_MILLISECONDS);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});

test("a task of a lost session whose stop calls are executed late does not run beside its next attempt", () => {
  const harness = new OverlappingRunsHarness();
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const vm = harness.busyVm();
  harness.delayCalls(vm, WorkerCallKind.Stop, Array(14).fill(3_000));
  harness.system.network.cutLink("entry-1~", `${vm.name}~`);
  harness.system.network.cutLink(`${vm.name}~`, "entry-1~");
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});
