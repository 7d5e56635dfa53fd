/**
 * How a sidecar settles the runs of a worker that has ended: a crash is told apart from an announced end.
 */
import { test } from "node:test";
import {
  CrashProof,
  DispatchInputKind,
  EventNumber,
  InterruptionReason,
  RunEndKind,
  WorkerPhase,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { crashed, interrupted } from "./run_settlement.ts";
import {
  BORN_AT,
  CONNECTION_REFUSED,
  STOP_MILLISECONDS,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

test("the runs of a worker that ends without notice are settled as crashed", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({});
  expect(harness.settlementOf(10)).toEqual(
    crashed(CrashProof.Alone),
  );
});

test("a run that the next incarnation of the worker lists is not settled as ended", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.runTask(11, { job: "b", millicores: 1_000 });
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({ running: ["a", "b"] });
  expect([harness.settlementOf(10), harness.settlementOf(11)])
    .toEqual([undefined, undefined]);
  expect(harness.takeCalls("stop").length).toEqual(2);
  harness.advanceTo(40);
  harness.answerPoll({
    ended: [
      { job: "a", kind: RunEndKind.Stopped },
      { job: "b", kind: RunEndKind.Stopped },
    ],
  });
  const ended = interrupted(InterruptionReason.WorkerLost);
  expect([harness.settlementOf(10), harness.settlementOf(11)])
    .toEqual([ended, ended]);
});

test("a run that a poll shows at the next incarnation of the worker is not settled as ended", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.restartWorker(BORN_AT + 500);
  harness.answerPoll({ running: ["a"] });
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.answerPoll({ running: ["a"] }, 0);
  expect(harness.settlementOf(10)).toEqual(undefined);
  expect(harness.takeCalls("stop").length).toEqual(1);
  harness.advanceTo(40);
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Stopped }] });
  expect(harness.settlementOf(10)).toEqual(
    interrupted(InterruptionReason.WorkerLost),
  );
});

test("an incarnation of which only a list is known gets no task before it reports", () => {
  const harness = WorkerGuardHarness.ready();
  harness.restartWorker(BORN_AT + 500);
  harness.answerPoll({});
  harness.answerPoll({}, 0);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual([]);
  harness.report();
  harness.runTask(11, { job: "b", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["b"]);
});

test("the runs of a worker that ends after it has drained are not settled as crashed", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.report({ phase: WorkerPhase.Draining });
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({});
  expect(harness.settlementOf(10)).toEqual(
    interrupted(InterruptionReason.WorkerLost),
  );
});

test("the runs of a worker that says that it leaves are not settled as crashed", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.step({ kind: DispatchInputKind.WorkerLeaving, worker: "i-1" });
  harness.advanceTo(40);
  harness.answer(harness.takeCalls("hold")[0], CONNECTION_REFUSED);
  harness.advanceTo(40 + STOP_MILLISECONDS);
  expect(harness.settlementOf(10)).toEqual(
    interrupted(InterruptionReason.WorkerLost),
  );
});

test("the event of a crash shows which runs had begun", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.runTask(11, { job: "b", millicores: 1_000 });
  harness.answer(harness.takeCalls("hold").at(-1), CONNECTION_REFUSED);
  const tasks = harness.eventContexts(EventNumber.WorkerCrashed)
    .map((context) => context["tasks"]);
  expect(tasks).toEqual([
    "a.0.0 0 running confirmed, b.0.0 0 starting unproven",
  ]);
});
