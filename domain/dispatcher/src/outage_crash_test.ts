/**
 * What an entry makes of crashes that tasks have not caused: workers that crash in one outage, or again and again.
 */
import { test } from "node:test";
import {
  ClientAnswerKind,
  type CrashSuspect,
  DispatchRequestKind,
  GivenUpReason,
  InputKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  completeAll,
  COMPLETED,
  crashWorkers,
  FAILED,
  readyHarness,
  submit,
} from "./crash_harness.ts";
import type { DispatcherHarness } from "./dispatcher_harness.ts";

const SECOND = 1_000;

/** Reports a crash at a sidecar; without suspects no run there explains it. */
function reportCrash(
  harness: DispatcherHarness,
  suspects: readonly CrashSuspect[] = [],
): void {
  harness.step({
    kind: InputKind.PeerRequestArrived,
    from: "z~a",
    request: 900,
    message: { kind: DispatchRequestKind.ReportCrash, suspects },
  });
}

/** How many of the unsettled runs are apart from others. */
function runsApart(harness: DispatcherHarness): number {
  return harness.sent(DispatchRequestKind.RunTask).filter(({ message }) =>
    message.kind === DispatchRequestKind.RunTask &&
    message.suspectRoute !== undefined
  ).length;
}

test("a job is not failed for two workers that crashed in one outage", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  crashWorkers(harness);
  reportCrash(harness);
  crashWorkers(harness);
  completeAll(harness);
  expect(harness.answerTo(1)).toEqual(COMPLETED);
});

test("a job is not failed for crashes of an outage that the entry heard of first", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  reportCrash(harness);
  harness.runTo(100);
  crashWorkers(harness);
  crashWorkers(harness);
  completeAll(harness);
  expect(harness.answerTo(1)).toEqual(COMPLETED);
});

test("jobs that had just started when an outage ended their workers do not run apart", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  reportCrash(harness);
  crashWorkers(harness);
  expect(runsApart(harness)).toEqual(0);
});

test("a kind of work is not put under quarantine for crashes of an outage, of which the entry hears later", () => {
  const harness = readyHarness();
  reportCrash(harness, [{
    task: { job: "other", step: 0, index: 0 },
    route: "scan",
  }]);
  submit(harness, 1, "a");
  expect(runsApart(harness)).toEqual(1);
  reportCrash(harness);
  submit(harness, 2, "b");
  expect(runsApart(harness)).toEqual(1);
});

test("while workers crash without a cause among their runs, a job is failed after three crashes", () => {
  const harness = readyHarness();
  reportCrash(harness);
  harness.runTo(SECOND);
  submit(harness, 1, "a");
  crashWorkers(harness);
  crashWorkers(harness);
  expect(harness.answerTo(1)).toEqual(undefined);
  crashWorkers(harness);
  expect(harness.answerTo(1)).toEqual(FAILED);
});

test("a task is started no more after five crashes, though an outage surrounds each of them", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  for (let crash = 1; crash <= 8; crash += 1) {
    reportCrash(harness);
    crashWorkers(harness);
  }
  expect(harness.placementAddresses().length).toEqual(5);
  expect(harness.answerTo(1)).toEqual({
    kind: ClientAnswerKind.GivenUp,
    reason: GivenUpReason.WorkersCrashed,
  });
});

test("crashes of an outage do not count against a task once the outage is forgotten", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  reportCrash(harness);
  crashWorkers(harness);
  const task = { job: "a", step: 0, index: 0 };
  harness.runTo(20 * SECOND);
  reportCrash(harness, [{ task, route: "scan" }]);
  harness.runTo(31 * SECOND);
  submit(harness, 2, "a");
  expect(harness.answerTo(2)).toEqual(undefined);
});

test("a job is not failed for crashes of an outage that the entry hears of last, while other jobs are suspects", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  submit(harness, 2, "b");
  crashWorkers(harness);
  crashWorkers(harness);
  expect(harness.answerTo(1)).toEqual(undefined);
  expect(harness.sent(DispatchRequestKind.RunTask).length).toEqual(0);
  harness.runTo(50);
  reportCrash(harness);
  harness.runTo(100);
  completeAll(harness);
  expect(harness.answerTo(1)).toEqual(COMPLETED);
});

test("a job whose verdict was put off fails once no report of an outage can follow", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  submit(harness, 2, "b");
  crashWorkers(harness);
  crashWorkers(harness);
  harness.runTo(300);
  expect(harness.answerTo(1)).toEqual(FAILED);
});

test("a job that crashes workers during an outage runs apart after two crashes", () => {
  const harness = readyHarness();
  reportCrash(harness);
  submit(harness, 1, "a");
  crashWorkers(harness);
  expect(runsApart(harness)).toEqual(0);
  harness.runTo(1);
  crashWorkers(harness);
  expect(runsApart(harness)).toEqual(1);
});

test("a job is not failed for crashes near one that its kind of work does not explain", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  crashWorkers(harness);
  const task = { job: "other", step: 0, index: 0 };
  reportCrash(harness, [{ task, workKind: "later" }]);
  crashWorkers(harness);
  harness.runTo(100);
  completeAll(harness);
  expect(harness.answerTo(1)).toEqual(COMPLETED);
});

test("a task that had run for long when its worker crashed runs apart, and that crash does not fail its job", () => {
  const harness = readyHarness();
  submit(harness, 1, "a");
  harness.runTo(400);
  crashWorkers(harness);
  expect(runsApart(harness)).toEqual(1);
  crashWorkers(harness);
  expect(harness.answerTo(1)).toEqual(undefined);
  crashWorkers(harness);
  expect(harness.answerTo(1)).toEqual(FAILED);
});
