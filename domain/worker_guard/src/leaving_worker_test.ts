/**
 * Workers that end as planned: they drain, say goodbye, stop what still runs, and end.
 */
import { test } from "node:test";
import {
  DispatchInputKind,
  InterruptionReason,
  NotStartedReason,
  RunEndKind,
  SettlementKind,
  type WorkerAnswer,
  WorkerAnswerKind,
  WorkerPhase,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { interrupted, notStarted } from "./run_settlement.ts";
import {
  BORN_AT,
  CONNECTION_REFUSED,
  ENTRY,
  STOP_MILLISECONDS,
  unanswered,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

const WORKER_LOST = interrupted(InterruptionReason.WorkerLost);
const OTHER_INCARNATION: WorkerAnswer = {
  kind: WorkerAnswerKind.Refused,
  reason: WorkerRefusalReason.IncarnationMismatch,
};
/** Longest lease, with a clock that runs slow and the transit of its renewal. */
const LEASE_MILLISECONDS = 1_120;

/** A sidecar whose worker runs job `a`, drains, and says goodbye. */
function afterGoodbye(): WorkerGuardHarness {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.report({ phase: WorkerPhase.Draining });
  sayGoodbye(harness);
  return harness;
}

function sayGoodbye(harness: WorkerGuardHarness): void {
  harness.step({ kind: DispatchInputKind.WorkerLeaving, worker: "i-1" });
}

/** Lets time pass while the entry renews its session; polls get an answer from the function. */
function advance(
  harness: WorkerGuardHarness,
  { from, to }: { readonly from: number; readonly to: number },
  answerOf: (now: number) => WorkerAnswer,
): void {
  for (let now = from; now <= to; now += 10) {
    harness.advanceTo(now);
    if (now % 100 === 0) harness.renewSession(ENTRY, 1_000 + now);
    for (const call of harness.takeCalls("hold")) {
      harness.answer(call, answerOf(now));
    }
  }
}

test("a goodbye does not settle the runs that the worker is still stopping", () => {
  const harness = afterGoodbye();
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.advanceTo(40);
  expect(harness.settlementOf(10)).toEqual(undefined);
});

test("runs are settled when the worker refuses connections after its goodbye and has had time to stop them", () => {
  const harness = afterGoodbye();
  harness.answer(harness.takeCalls("hold")[0], CONNECTION_REFUSED);
  harness.advanceTo(STOP_MILLISECONDS - 1);
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.advanceTo(STOP_MILLISECONDS);
  expect(harness.settlementOf(10)).toEqual(WORKER_LOST);
});

test("runs are settled when another incarnation answers after the goodbye", () => {
  const harness = afterGoodbye();
  harness.answer(harness.takeCalls("hold")[0], OTHER_INCARNATION);
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.advanceTo(STOP_MILLISECONDS);
  expect(harness.settlementOf(10)).toEqual(WORKER_LOST);
});

test("runs of a worker that drained and ended without a goodbye are settled after it has had time to stop them", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.report({ phase: WorkerPhase.Draining });
  harness.answer(harness.takeCalls("hold")[0], CONNECTION_REFUSED);
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.advanceTo(STOP_MILLISECONDS);
  expect(harness.settlementOf(10)).toEqual(WORKER_LOST);
});

test("a run that ends after the goodbye is settled as it ended", () => {
  const harness = afterGoodbye();
  harness.advanceTo(20);
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(harness.settlementOf(10)?.kind).toEqual(SettlementKind.Completed);
});

test("runs of a worker that is silent after its goodbye are settled when its lease has expired, and no earlier", () => {
  const harness = afterGoodbye();
  const silentFrom = 300;
  const answerOf = (now: number): WorkerAnswer =>
    now < silentFrom ? listWithRun(now) : unanswered();
  advance(harness, { from: 10, to: LEASE_MILLISECONDS }, answerOf);
  expect(harness.settlementOf(10)).toEqual(undefined);
  const to = silentFrom + LEASE_MILLISECONDS + 20;
  advance(harness, { from: LEASE_MILLISECONDS + 10, to }, answerOf);
  expect(harness.settlementOf(10)).toEqual(WORKER_LOST);
});

test("a worker that has said goodbye gets no new tasks", () => {
  const harness = WorkerGuardHarness.ready();
  sayGoodbye(harness);
  harness.runTask(11, { job: "b", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual([]);
  expect(harness.settlementOf(11)).toEqual(
    notStarted(NotStartedReason.Draining),
  );
});

test("a worker that reports again after a late goodbye keeps its runs and gets tasks", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  sayGoodbye(harness);
  advance(harness, { from: 10, to: 1_500 }, listWithRun);
  harness.report();
  harness.runTask(11, { job: "b", millicores: 1_000 });
  expect(harness.settlementOf(10)).toEqual(undefined);
  expect(harness.startedJobs()).toEqual(["a", "b"]);
});

function listWithRun(now: number): WorkerAnswer {
  return {
    kind: WorkerAnswerKind.Listed,
    bornAt: BORN_AT,
    clock: now,
    running: [{
      run: { task: { job: "a", step: 0, index: 0 }, run: 1 },
      percent: Math.floor(now / 50),
    }],
    ended: [],
  };
}
