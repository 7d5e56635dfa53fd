/**
 * Tests that a stop which a worker executes a fraction of a second late ends the run.
 */
import { test } from "node:test";
import { type Milliseconds, WorkerCallKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 10_000;
const STOP_DELAY_MILLISECONDS: Milliseconds = 300;
const STOPS = 100;

test("a stop that is executed late is not fenced off by the polls that follow it", () => {
  const harness = new OverlappingRunsHarness();
  const request = harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const vm = harness.busyVm();
  harness.delayCalls(
    vm,
    WorkerCallKind.Stop,
    Array<Milliseconds>(STOPS).fill(STOP_DELAY_MILLISECONDS),
  );
  harness.disconnect(request);
  harness.advance(2 * STOP_DELAY_MILLISECONDS);
  expect(vm.worker?.running).toEqual([]);
});
