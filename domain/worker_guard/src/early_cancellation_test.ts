/**
 * Cancellations that a sidecar reads before the request to run the task, which was sent again after a
 * connection loss.
 */
import { test } from "node:test";
import { NotStartedReason, SettlementKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { WorkerGuardHarness } from "./worker_guard_harness.ts";

test("a task that was cancelled before its request arrived is not started", () => {
  const harness = WorkerGuardHarness.ready();
  harness.cancelTask(10, { job: "a" });
  harness.runTask(11, { job: "a", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual([]);
  expect(harness.settlementOf(11)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.Cancelled,
  });
});

test("a later attempt at a task whose cancellation arrived first is started", () => {
  const harness = WorkerGuardHarness.ready();
  harness.cancelTask(10, { job: "a" });
  harness.runTask(11, { job: "a", millicores: 1_000, attempt: 2 });
  expect(harness.startedJobs()).toEqual(["a"]);
});
