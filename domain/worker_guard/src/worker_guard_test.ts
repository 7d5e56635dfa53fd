/**
 * A sidecar with faulty workers and entries: lost answers, restarts, pauses, expired sessions and repeated
 * requests. It must never start more than the worker's capacity allows, never start a task for a session that
 * has ended, and settle every attempt exactly once.
 */
import { test } from "node:test";
import {
  CrashProof,
  type DispatchReply,
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
  WorkerCallKind,
  WorkerPhase,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  BORN_AT,
  CAPACITY_MILLICORES,
  ENTRY,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

const OTHER_ENTRY: ProcessIdentifier = "entry-2~a";
const ACCEPTED: WorkerAnswer = { kind: WorkerAnswerKind.Accepted };
const UNANSWERED: WorkerAnswer = {
  kind: WorkerAnswerKind.Unanswered,
  error: {
    tag: ErrorTag.TimedOut,
    step: Step.ExecuteTask,
    peer: "i-1",
    detail: "no answer",
  },
};

test("a worker that refuses every poll is polled again only after a pause", () => {
  const harness = new WorkerGuardHarness();
  harness.report();
  let polls = 0;
  for (let now = 0; now < 1_000; now += 1) {
    harness.advanceTo(now);
    const [call] = harness.takeCalls("hold");
    if (call === undefined) continue;
    polls += 1;
    harness.answer(call, {
      kind: WorkerAnswerKind.Refused,
      reason: WorkerRefusalReason.Unhealthy,
    });
  }
  expect(polls).toBeLessThanOrEqual(51);
});

test("no session is granted before a list shows that no run of an earlier incarnation is left", () => {
  const harness = new WorkerGuardHarness();
  harness.report();
  harness.openSession(ENTRY, 1);
  expect(harness.repliesTo(1)).toEqual([DispatchReplyKind.SessionPending]);
  harness.answerPoll({ running: ["old"] });
  expect(harness.takeCalls("stop").length).toEqual(1);
  harness.advanceTo(200);
  harness.answerPoll({});
  harness.openSession(ENTRY, 2);
  expect(harness.repliesTo(2)).toEqual([DispatchReplyKind.SessionGranted]);
});

test("tasks beyond the worker's capacity are not started and are settled at once", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 5_000 });
  harness.runTask(11, { job: "b", millicores: 5_000 });
  expect(harness.startedJobs()).toEqual(["a"]);
  expect(harness.settlementOf(11)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.InsufficientCapacity,
  });
  harness.acceptStarts();
  harness.advanceTo(50);
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(harness.settlementOf(10)?.kind).toEqual(SettlementKind.Completed);
  harness.runTask(12, { job: "c", millicores: 5_000 });
  expect(harness.startedJobs()).toEqual(["a", "c"]);
});

test("the reply to a renewal contains only what the entry does not know", () => {
  const harness = WorkerGuardHarness.ready();
  harness.renewSession(ENTRY, 20);
  const [full] = harness.messagesTo(20);
  expect(full?.kind).toEqual(DispatchReplyKind.SessionGranted);
  if (full?.kind !== DispatchReplyKind.SessionGranted) return;
  const known = {
    knownWorker: full.profile?.worker ?? "",
    knownProfile: full.profile?.revision ?? 0,
    knownRevision: full.load?.revision ?? 0,
  };
  harness.renewSession(ENTRY, 21, known);
  const kind = DispatchReplyKind.SessionRenewed;
  const { session } = full;
  expect(harness.messagesTo(21)).toEqual([{ kind, session, clock: 0 }]);
  harness.runTask(10, { job: "a", millicores: 5_000 });
  harness.renewSession(ENTRY, 22, known);
  const [changed] = harness.messagesTo(22);
  expect(changed?.kind).toEqual(kind);
  if (changed?.kind !== kind) return;
  expect(changed.load?.free.processorMillicores).toEqual(3_000);
});

/** Fills the worker for `ENTRY`, lets two entries wait for its capacity, and completes the task. */
function freeCapacityForTwo(
  harness: WorkerGuardHarness,
  priorities: { readonly entry: number; readonly other: number },
): void {
  harness.openSession(OTHER_ENTRY, 2);
  harness.runTask(10, { job: "a", millicores: CAPACITY_MILLICORES });
  harness.acceptStarts();
  harness.watchLoad(ENTRY, 31, { priority: priorities.entry, slack: 50 });
  harness.watchLoad(OTHER_ENTRY, 32, { priority: priorities.other });
  harness.advanceTo(100);
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
}

function freeIn(message: DispatchReply | undefined): number | undefined {
  return message !== undefined && "load" in message
    ? message.load?.free.processorMillicores
    : undefined;
}

test("freed capacity is offered to the entry with the most urgent job and hidden from the others", () => {
  const harness = WorkerGuardHarness.ready();
  freeCapacityForTwo(harness, { entry: 1, other: 0 });
  expect(freeIn(harness.messagesTo(32)[0])).toEqual(CAPACITY_MILLICORES);
  expect(harness.messagesTo(31)).toEqual([]);
  expect(freeIn(harness.messagesTo(10)[0])).toEqual(0);
});

test("among jobs of one priority freed capacity goes to the one that must start first", () => {
  const harness = WorkerGuardHarness.ready();
  freeCapacityForTwo(harness, { entry: 0, other: 0 });
  expect(freeIn(harness.messagesTo(31)[0])).toEqual(CAPACITY_MILLICORES);
  expect(harness.messagesTo(32)).toEqual([]);
});

test("capacity that an entry does not use is offered to the next", () => {
  const harness = WorkerGuardHarness.ready();
  freeCapacityForTwo(harness, { entry: 1, other: 0 });
  harness.advanceTo(130);
  expect(freeIn(harness.messagesTo(31)[0])).toEqual(CAPACITY_MILLICORES);
});

test("an entry that has used its offer holds no capacity back from the others", () => {
  const harness = WorkerGuardHarness.ready();
  freeCapacityForTwo(harness, { entry: 1, other: 0 });
  harness.runTask(11, { job: "b", millicores: 1_000, entry: OTHER_ENTRY });
  harness.renewSession(ENTRY, 33);
  expect(freeIn(harness.messagesTo(33)[0])).toEqual(
    CAPACITY_MILLICORES - 1_000,
  );
});

test("a renewal reports a slowness that has changed while no task started or ended", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.renewSession(ENTRY, 20);
  const [before] = harness.messagesTo(20);
  if (before?.kind !== DispatchReplyKind.SessionGranted) return;
  const known = {
    knownWorker: before.profile?.worker ?? "",
    knownProfile: before.profile?.revision ?? 0,
    knownRevision: before.load?.revision ?? 0,
  };
  harness.advanceTo(190);
  harness.answerPoll({ running: ["a"], percent: 10 });
  harness.renewSession(ENTRY, 21, known);
  const [after] = harness.messagesTo(21);
  expect(after?.kind).toEqual(DispatchReplyKind.SessionRenewed);
  if (after?.kind !== DispatchReplyKind.SessionRenewed) return;
  expect(after.load?.slowness ?? 0).toBeGreaterThan(2);
});

test("a worker gets no new tasks after it has reported that it is draining", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.report({ phase: WorkerPhase.Draining });
  harness.runTask(11, { job: "b", millicores: 100 });
  expect(harness.settlementOf(11)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.Draining,
  });
  expect(harness.startedJobs()).toEqual(["a"]);
});

test("a restarted sidecar uses its saved worker before the worker's next report", () => {
  const harness = WorkerGuardHarness.withSavedWorker();
  harness.answer(harness.takeCalls("check-health")[0], ACCEPTED);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["a"]);
});

test("a saved worker that refuses the health check gets no tasks before its next report", () => {
  const harness = WorkerGuardHarness.withSavedWorker();
  harness.answer(harness.takeCalls("check-health")[0], {
    kind: WorkerAnswerKind.Refused,
    reason: WorkerRefusalReason.Unhealthy,
  });
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual([]);
  harness.report();
  harness.runTask(11, { job: "b", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["b"]);
});

test("a saved incarnation that has ended gets no tasks, and reading its description again has no effect", () => {
  const harness = new WorkerGuardHarness();
  harness.readSavedWorker();
  const [poll] = harness.takeCalls("hold");
  harness.answer(poll, {
    kind: WorkerAnswerKind.Refused,
    reason: WorkerRefusalReason.IncarnationMismatch,
  });
  harness.readSavedWorker();
  expect(harness.takeCalls("hold")).toEqual([]);
  harness.advanceTo(1_130);
  harness.openSession(ENTRY, 1);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.settlementOf(10)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.NoWorker,
  });
});

test("a restarted sidecar grants no session while the lease of earlier runs may be valid", () => {
  const harness = new WorkerGuardHarness();
  harness.advanceTo(0);
  harness.openSession(ENTRY, 1);
  harness.advanceTo(1_000);
  harness.openSession(ENTRY, 2);
  expect(harness.repliesTo(1)).toEqual([DispatchReplyKind.SessionPending]);
  expect(harness.repliesTo(2)).toEqual([DispatchReplyKind.SessionPending]);
  harness.advanceTo(1_130);
  harness.openSession(ENTRY, 3);
  expect(harness.repliesTo(3)).toEqual([DispatchReplyKind.SessionGranted]);
});

test("a reported worker takes precedence over a saved one", () => {
  const harness = WorkerGuardHarness.ready();
  harness.report({ phase: WorkerPhase.Draining });
  harness.readSavedWorker();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.settlementOf(10)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.Draining,
  });
});

test("the load contains the slowness of the worker", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.advanceTo(150);
  harness.answerPoll({ running: ["a"], percent: 10 });
  harness.runTask(11, { job: "b", millicores: 8_000 });
  // 10 % progress of an expected 300 ms took 150 ms: five times as long as expected.
  expect(harness.loadOf(11)?.slowness).toEqual(5);
});

test("when a session expires, its runs are stopped and late requests of its entry start nothing", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.advanceTo(400);
  harness.advanceTo(601);
  expect(harness.takeCalls("stop").length).toEqual(1);
  harness.runTask(11, { job: "b", millicores: 1_000 });
  expect(harness.settlementOf(11)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.StaleSession,
  });
  harness.openSession(ENTRY, 12);
  expect(harness.repliesTo(12)).toEqual([DispatchReplyKind.SessionPending]);
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Stopped }] });
  expect(harness.settlementOf(10)).toEqual({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.SessionEnded,
  });
  harness.openSession(ENTRY, 13);
  expect(harness.repliesTo(13)).toEqual([DispatchReplyKind.SessionGranted]);
});

test("a stall of the sidecar does not end a session whose renewal waits to be read", () => {
  const harness = WorkerGuardHarness.ready();
  harness.advanceTo(190);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.advanceTo(620);
  harness.renewSession(ENTRY);
  harness.advanceTo(650);
  harness.advanceTo(800);
  expect(harness.takeCalls("stop")).toEqual([]);
  harness.advanceTo(1_000);
  harness.advanceTo(1_240);
  expect(harness.takeCalls("stop").length).toEqual(1);
});

test("requests that were queued during a suspension of the VM start nothing", () => {
  const harness = WorkerGuardHarness.ready();
  harness.advanceTo(150);
  harness.renewSession(ENTRY);
  harness.suspend(3_000);
  harness.report();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual([]);
  expect(harness.settlementOf(10)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.StaleSession,
  });
});

test("a start call that is sent after a suspension of the VM names a time that has passed", () => {
  const harness = WorkerGuardHarness.ready();
  harness.advanceTo(150);
  harness.suspend(3_000);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  const [request] = harness.takeCalls("start").map((call) => call.request);
  const leaseUntil = request?.kind === WorkerCallKind.Start
    ? request.leaseUntil
    : Infinity;
  expect(leaseUntil).toBeLessThan(3_000);
});

test("a report that was delayed on its way ends no session", () => {
  const harness = WorkerGuardHarness.ready();
  harness.advanceTo(190);
  harness.suspend(-3_000);
  harness.report();
  harness.suspend(3_000);
  harness.report();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["a"]);
});

test("requests that were queued during a pause of the process start nothing", () => {
  const harness = WorkerGuardHarness.ready();
  harness.setNow(3_000);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.settlementOf(10)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.StaleSession,
  });
});

test("a run whose start was not answered is adopted when the worker lists it", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = harness.takeCalls("start");
  harness.advanceTo(60);
  harness.answer(start, UNANSWERED);
  harness.answerPoll({ running: ["a"] });
  expect(harness.takeCalls("stop")).toEqual([]);
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(harness.settlementOf(10)?.kind).toEqual(SettlementKind.Completed);
});

test("a run whose start was not answered and which is not listed is stopped before it is settled", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = harness.takeCalls("start");
  harness.advanceTo(60);
  harness.answer(start, UNANSWERED);
  harness.answerPoll({});
  const [stop] = harness.takeCalls("stop");
  harness.answerPoll({});
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.advanceTo(61);
  harness.answer(stop, { kind: WorkerAnswerKind.Accepted, clock: 61 });
  harness.answerPoll({});
  expect(harness.settlementOf(10)?.kind).toEqual(SettlementKind.Interrupted);
});

test("a worker that left a call unanswered is polled with a shorter wait", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  const [poll] = harness.takeCalls("hold");
  harness.advanceTo(100);
  harness.answer(poll, UNANSWERED);
  harness.advanceTo(130);
  const [next] = harness.takeCalls("hold");
  const request = next?.request;
  const isShort = request !== undefined && "waitMilliseconds" in request &&
    request.waitMilliseconds <= 50;
  expect(isShort).toEqual(true);
});

test("a refused fencing token is raised and the start is repeated", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = harness.takeCalls("start");
  harness.answer(start, {
    kind: WorkerAnswerKind.Refused,
    reason: WorkerRefusalReason.Fenced,
  });
  const [again] = harness.takeCalls("start");
  expect(again?.fencingToken ?? 0).toBeGreaterThan(start?.fencingToken ?? 0);
});

test("a new incarnation of the worker is called with a newer token, and earlier runs are settled as crashed", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = harness.takeCalls("start");
  harness.answer(start, { kind: WorkerAnswerKind.Accepted, clock: 0 });
  harness.report({ bornAt: BORN_AT + 500 });
  const poll = harness.takeCalls("hold").at(-1);
  expect(poll?.fencingToken ?? 0).toBeGreaterThan(start?.fencingToken ?? 0);
  harness.answer(poll, {
    kind: WorkerAnswerKind.Listed,
    bornAt: BORN_AT + 500,
    clock: 0,
    running: [],
    ended: [],
  });
  expect(harness.settlementOf(10)).toEqual({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.WorkerCrashed,
    proof: CrashProof.Alone,
  });
});

test("a repeated request attaches to its attempt, also after its settlement", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.runTask(11, { job: "a", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["a"]);
  harness.acceptStarts();
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(harness.settlementOf(11)?.kind).toEqual(SettlementKind.Completed);
  harness.runTask(12, { job: "a", millicores: 1_000 });
  expect(harness.settlementOf(12)?.kind).toEqual(SettlementKind.Completed);
});

test("a task that is active for one entry is not started for another", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.openSession(OTHER_ENTRY, 11);
  harness.runTask(12, { job: "a", millicores: 1_000, entry: OTHER_ENTRY });
  expect(harness.startedJobs()).toEqual(["a"]);
  expect(harness.settlementOf(12)?.kind).toEqual(SettlementKind.NotStarted);
});

test("a run without progress is stopped", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  for (let now = 100; now <= 1_300; now += 100) {
    harness.advanceTo(now);
    harness.renewSession(ENTRY);
    harness.answerPoll({ running: ["a"] });
  }
  expect(harness.takeCalls("stop").length).toBeGreaterThan(0);
});

test("a draining process stops only after its runs have ended", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.step({ kind: InputKind.DrainRequested });
  harness.advanceTo(350);
  expect(harness.hasStopped).toEqual(false);
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  expect(harness.hasStopped).toEqual(true);
});
