/**
 * Workers that are taken for ended for a moment, or say goodbye late, and are used again.
 */
import { test } from "node:test";
import { DispatchInputKind, type Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 4_000;

test("a worker that refused connections for a moment is used again", () => {
  const harness = new OverlappingRunsHarness();
  for (const { worker } of harness.system.sidecars) {
    if (worker !== undefined) worker.isRefusingConnections = true;
  }
  harness.submit(0, "first", 100);
  harness.advance(300);
  for (const { worker } of harness.system.sidecars) {
    if (worker !== undefined) worker.isRefusingConnections = false;
  }
  harness.advance(5_000);
  harness.submit(0, "second", 100);
  harness.advance(1_000);
  expect(harness.starts > 0).toEqual(true);
});

test("a goodbye of an earlier incarnation that arrives late does not end the tasks of the present one", () => {
  const harness = new OverlappingRunsHarness();
  const { sidecars } = harness.system;
  for (const vm of sidecars) {
    vm.worker?.crash();
    harness.system.startWorker(vm, true);
  }
  harness.advance(2_000);
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const vm = harness.busyVm();
  vm.process.receive({
    kind: DispatchInputKind.WorkerLeaving,
    worker: vm.worker?.options.id ?? "",
  });
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});
