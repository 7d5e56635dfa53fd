/**
 * The guard of a worker against what the worker and the entries may do: it never starts beyond the room,
 * never for a session that has ended, and settles every attempt once.
 */
import { test } from "node:test";
import {
  DispatchReplyKind,
  ErrorTag,
  InputKind,
  InterruptionReason,
  NotStartedReason,
  type ProcessIdentifier,
  RunEndKind,
  SettlementKind,
  Step,
  type WorkerAnswer,
  WorkerAnswerKind,
  WorkerPhase,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { BORN_AT, ENTRY, Rig } from "./worker_guard_rig.ts";

const OTHER_ENTRY: ProcessIdentifier = "entry-2~a";
const ACCEPTED: WorkerAnswer = { kind: WorkerAnswerKind.Accepted };
const MISSING: WorkerAnswer = {
  kind: WorkerAnswerKind.Unanswered,
  error: {
    tag: ErrorTag.TimedOut,
    step: Step.ExecuteTask,
    peer: "i-1",
    detail: "no answer",
  },
};

test("a worker that refuses every list of runs is asked again only after a pause", () => {
  const rig = new Rig();
  rig.report();
  let asked = 0;
  for (let now = 0; now < 1_000; now += 1) {
    rig.at(now);
    const [call] = rig.takeCalls("hold");
    if (call === undefined) continue;
    asked += 1;
    rig.answer(call, {
      kind: WorkerAnswerKind.Refused,
      reason: WorkerRefusalReason.Unhealthy,
    });
  }
  expect(asked).toBeLessThanOrEqual(51);
});

test("no work is taken before a list shows that nothing of an earlier run is left", () => {
  const rig = new Rig();
  rig.report();
  rig.open(ENTRY, 1);
  expect(rig.repliesTo(1)).toEqual([DispatchReplyKind.SessionPending]);
  rig.answerHold({ running: ["old"] });
  expect(rig.takeCalls("stop").length).toEqual(1);
  rig.at(200);
  rig.answerHold({});
  rig.open(ENTRY, 2);
  expect(rig.repliesTo(2)).toEqual([DispatchReplyKind.SessionGranted]);
});

test("no more runs at once than the worker has room for; what has no room is given back at once", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 5_000 });
  rig.runTask(11, { job: "b", millicores: 5_000 });
  expect(rig.startedJobs()).toEqual(["a"]);
  expect(rig.settlementOf(11)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.InsufficientCapacity,
  });
  rig.acceptStarts();
  rig.at(50);
  rig.answerHold({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(rig.settlementOf(10)?.kind).toEqual(SettlementKind.Completed);
  rig.runTask(12, { job: "c", millicores: 5_000 });
  expect(rig.startedJobs()).toEqual(["a", "c"]);
});

test("a leaving worker gets no new work from its report on", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  rig.report({ phase: WorkerPhase.Draining });
  rig.runTask(11, { job: "b", millicores: 100 });
  expect(rig.settlementOf(11)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.Draining,
  });
  expect(rig.startedJobs()).toEqual(["a"]);
});

test("a sidecar that starts again serves its worker before the worker's next report", () => {
  const rig = Rig.recalled();
  rig.answer(rig.takeCalls("check-health")[0], ACCEPTED);
  rig.runTask(10, { job: "a", millicores: 1_000 });
  expect(rig.startedJobs()).toEqual(["a"]);
});

test("a remembered worker that is leaving by now gets nothing before its next report", () => {
  const rig = Rig.recalled();
  rig.answer(rig.takeCalls("check-health")[0], {
    kind: WorkerAnswerKind.Refused,
    reason: WorkerRefusalReason.Unhealthy,
  });
  rig.runTask(10, { job: "a", millicores: 1_000 });
  expect(rig.startedJobs()).toEqual([]);
  rig.report();
  rig.runTask(11, { job: "b", millicores: 1_000 });
  expect(rig.startedJobs()).toEqual(["b"]);
});

test("a remembered life that has ended gets nothing, and its record does not bring it back", () => {
  const rig = new Rig();
  rig.recall();
  const [hold] = rig.takeCalls("hold");
  rig.answer(hold, {
    kind: WorkerAnswerKind.Refused,
    reason: WorkerRefusalReason.IncarnationMismatch,
  });
  rig.recall();
  expect(rig.takeCalls("hold")).toEqual([]);
  rig.at(1_130);
  rig.open(ENTRY, 1);
  rig.runTask(10, { job: "a", millicores: 1_000 });
  expect(rig.settlementOf(10)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.NoWorker,
  });
});

test("a sidecar that starts again grants no session while the lease of earlier work may last", () => {
  const rig = new Rig();
  rig.at(0);
  rig.open(ENTRY, 1);
  rig.at(1_000);
  rig.open(ENTRY, 2);
  expect(rig.repliesTo(1)).toEqual([DispatchReplyKind.SessionPending]);
  expect(rig.repliesTo(2)).toEqual([DispatchReplyKind.SessionPending]);
  rig.at(1_130);
  rig.open(ENTRY, 3);
  expect(rig.repliesTo(3)).toEqual([DispatchReplyKind.SessionGranted]);
});

test("a reported worker goes before a remembered one", () => {
  const rig = Rig.ready();
  rig.report({ phase: WorkerPhase.Draining });
  rig.recall();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  expect(rig.settlementOf(10)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.Draining,
  });
});

test("the load tells how much longer than expected tasks take", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  rig.acceptStarts();
  rig.at(150);
  rig.answerHold({ running: ["a"], percent: 10 });
  rig.runTask(11, { job: "b", millicores: 8_000 });
  // A tenth of 300 ms was done in 150 ms.
  expect(rig.loadOf(11)?.slowness).toEqual(5);
});

test("a silent entry loses its session, its work is stopped, and late requests start nothing", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  rig.acceptStarts();
  rig.at(400);
  rig.at(601);
  expect(rig.takeCalls("stop").length).toEqual(1);
  rig.runTask(11, { job: "b", millicores: 1_000 });
  expect(rig.settlementOf(11)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.StaleSession,
  });
  rig.open(ENTRY, 12);
  expect(rig.repliesTo(12)).toEqual([DispatchReplyKind.SessionPending]);
  rig.answerHold({ ended: [{ job: "a", kind: RunEndKind.Stopped }] });
  expect(rig.settlementOf(10)).toEqual({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.SessionEnded,
  });
  rig.open(ENTRY, 13);
  expect(rig.repliesTo(13)).toEqual([DispatchReplyKind.SessionGranted]);
});

test("after a pause of the process what it finds to read starts nothing", () => {
  const rig = Rig.ready();
  rig.setNow(3_000);
  rig.runTask(10, { job: "a", millicores: 1_000 });
  expect(rig.settlementOf(10)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.StaleSession,
  });
});

test("a start without an answer that is listed as running is adopted", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = rig.takeCalls("start");
  rig.at(60);
  rig.answer(start, MISSING);
  rig.answerHold({ running: ["a"] });
  expect(rig.takeCalls("stop")).toEqual([]);
  rig.answerHold({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(rig.settlementOf(10)?.kind).toEqual(SettlementKind.Completed);
});

test("a start without an answer that is not listed is stopped at once, and given back only then", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = rig.takeCalls("start");
  rig.at(60);
  rig.answer(start, MISSING);
  rig.answerHold({});
  const [stop] = rig.takeCalls("stop");
  rig.answerHold({});
  expect(rig.settlementOf(10)).toEqual(undefined);
  rig.at(61);
  rig.answer(stop, { kind: WorkerAnswerKind.Accepted, clock: 61 });
  rig.answerHold({});
  expect(rig.settlementOf(10)?.kind).toEqual(SettlementKind.Interrupted);
});

test("a worker that left a call unanswered is asked for its runs more often for a while", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  rig.acceptStarts();
  const [hold] = rig.takeCalls("hold");
  rig.at(100);
  rig.answer(hold, MISSING);
  rig.at(130);
  const [next] = rig.takeCalls("hold");
  const request = next?.request;
  const isShort = request !== undefined && "waitMilliseconds" in request &&
    request.waitMilliseconds <= 50;
  expect(isShort).toEqual(true);
});

test("a refused fencing token is raised, and the start repeated", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = rig.takeCalls("start");
  rig.answer(start, {
    kind: WorkerAnswerKind.Refused,
    reason: WorkerRefusalReason.Fenced,
  });
  const [again] = rig.takeCalls("start");
  expect(again?.fencingToken ?? 0).toBeGreaterThan(start?.fencingToken ?? 0);
});

test("another life of the worker is called under a newer token, and the runs of the last are lost", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = rig.takeCalls("start");
  rig.report({ bornAt: BORN_AT + 500 });
  expect(rig.settlementOf(10)).toEqual({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.WorkerLost,
  });
  const hold = rig.takeCalls("hold").at(-1);
  expect(hold?.fencingToken ?? 0).toBeGreaterThan(start?.fencingToken ?? 0);
});

test("a repeated request attaches to its attempt, also after the end", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  rig.runTask(11, { job: "a", millicores: 1_000 });
  expect(rig.startedJobs()).toEqual(["a"]);
  rig.acceptStarts();
  rig.answerHold({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(rig.settlementOf(11)?.kind).toEqual(SettlementKind.Completed);
  rig.runTask(12, { job: "a", millicores: 1_000 });
  expect(rig.settlementOf(12)?.kind).toEqual(SettlementKind.Completed);
});

test("a task that another entry still has is not started a second time", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  rig.open(OTHER_ENTRY, 11);
  rig.runTask(12, { job: "a", millicores: 1_000, entry: OTHER_ENTRY });
  expect(rig.startedJobs()).toEqual(["a"]);
  expect(rig.settlementOf(12)?.kind).toEqual(SettlementKind.NotStarted);
});

test("a run that makes no progress is stopped", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  rig.acceptStarts();
  for (let now = 100; now <= 1_300; now += 100) {
    rig.at(now);
    rig.renew(ENTRY);
    rig.answerHold({ running: ["a"] });
  }
  expect(rig.takeCalls("stop").length).toBeGreaterThan(0);
});

test("asked to stop, the process finishes what runs and ends before the platform ends it", () => {
  const rig = Rig.ready();
  rig.runTask(10, { job: "a", millicores: 1_000 });
  rig.acceptStarts();
  rig.step({ kind: InputKind.DrainRequested });
  rig.at(350);
  expect(rig.hasStopped).toEqual(false);
  rig.answerHold({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(rig.hasStopped).toEqual(true);
});
