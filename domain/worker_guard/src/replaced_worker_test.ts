/**
 * Workers that are replaced by one with other properties while they have nothing to run.
 */
import { test } from "node:test";
import { NotStartedReason, WorkerCallKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { notStarted } from "./run_settlement.ts";
import {
  BORN_AT,
  CONNECTION_REFUSED,
  ENTRY,
  unanswered,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

const TASK = { job: "a", millicores: 1_000, requiredLabel: "b" };
const UNSUITABLE = notStarted(NotStartedReason.UnsuitableWorker);

/** A sidecar with an idle worker of the given labels. */
function idleHarness(labels: readonly string[]): WorkerGuardHarness {
  const harness = new WorkerGuardHarness();
  harness.report({ labels });
  harness.answerPoll({});
  harness.openSession(ENTRY, 1);
  return harness;
}

test("a task does not start on a worker without its label", () => {
  const harness = idleHarness(["a"]);
  harness.runTask(10, TASK);
  expect(harness.settlementOf(10)).toEqual(UNSUITABLE);
  harness.runTask(11, { ...TASK, job: "b", requiredLabel: "a" });
  expect(harness.startedJobs()).toEqual(["b"]);
});

test("a task that was accepted for a worker with its label does not start once the label is gone", () => {
  const harness = idleHarness(["b"]);
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({ running: ["old"] });
  harness.runTask(10, TASK);
  harness.report({ labels: ["a"] });
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.advanceTo(200);
  harness.answerPoll({});
  expect(harness.startedJobs()).toEqual([]);
  expect(harness.settlementOf(10)).toEqual(UNSUITABLE);
});

test("a task that was accepted for an earlier incarnation does not start at a later one", () => {
  const harness = idleHarness(["b"]);
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({ running: ["old"] });
  harness.runTask(10, TASK);
  harness.report({ bornAt: BORN_AT + 900, labels: ["a"] });
  harness.answerPoll({});
  expect(harness.startedJobs()).toEqual([]);
  expect(harness.settlementOf(10)).toEqual(
    notStarted(NotStartedReason.NoWorker),
  );
});

test("a label that a worker no longer reports counts at once", () => {
  const harness = idleHarness(["b"]);
  harness.report({ labels: ["a"] });
  harness.runTask(10, TASK);
  expect(harness.settlementOf(10)).toEqual(UNSUITABLE);
});

test("the end of an idle worker is noticed before a task is sent to it", () => {
  const harness = idleHarness(["b"]);
  const [idle] = harness.takeCalls("hold");
  harness.answer(idle, unanswered());
  harness.advanceTo(30);
  harness.answer(harness.takeCalls("hold")[0], CONNECTION_REFUSED);
  harness.runTask(10, TASK);
  expect(harness.startedJobs()).toEqual([]);
  expect(harness.settlementOf(10)).toEqual(
    notStarted(NotStartedReason.NoWorker),
  );
});

test("a poll of an idle worker renews no lease", () => {
  const harness = idleHarness(["b"]);
  const [idle] = harness.takeCalls("hold");
  expect(idle?.request).toEqual({
    kind: WorkerCallKind.PollRuns,
    notedEnds: 0,
    waitMilliseconds: 200,
  });
});
