/**
 * What a sidecar says of the runs of a crashed worker that had not begun, and of crashes that no run explains.
 */
import { test } from "node:test";
import {
  CrashProof,
  ErrorTag,
  EventNumber,
  InterruptionReason,
  NotStartedReason,
  Step,
  SUSPICION_MILLISECONDS,
  type WorkerAnswer,
  WorkerAnswerKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { crashed, interrupted, notStarted } from "./run_settlement.ts";
import {
  BORN_AT,
  CONNECTION_REFUSED,
  ENTRY,
  notSent,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

const BESIDE = interrupted(InterruptionReason.BesideCrash);
const LOST = interrupted(InterruptionReason.WorkerLost);

const CONNECTION_LOST: WorkerAnswer = {
  kind: WorkerAnswerKind.Unanswered,
  error: {
    tag: ErrorTag.ConnectionLost,
    step: Step.ExecuteTask,
    peer: "i-1",
    detail: "the connection ended",
  },
};

test("a start call that the worker's address refuses does not count as a crash under its task", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.answer(harness.takeCalls("start")[0], CONNECTION_REFUSED);
  expect(harness.settlementOf(10)).toEqual(
    notStarted(NotStartedReason.NoWorker),
  );
});

for (const tag of [ErrorTag.TimedOut, ErrorTag.ConnectionLost] as const) {
  test(`a run whose start call was not sent (${tag}) is settled at once as not started, and nothing is stopped`, () => {
    const harness = WorkerGuardHarness.ready();
    harness.runTask(10, { job: "a", millicores: 1_000 });
    harness.answer(harness.takeCalls("start")[0], notSent(tag));
    expect(harness.settlementOf(10)).toEqual(
      notStarted(NotStartedReason.WorkerUnresponsive),
    );
    harness.answerPoll({});
    expect(harness.takeCalls("stop")).toEqual([]);
  });
}

test("a run whose start call was not sent does not count as a crash under its task", () => {
  const harness = WorkerGuardHarness.ready();
  harness.learnEntries([ENTRY]);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.answer(
    harness.takeCalls("start")[0],
    notSent(ErrorTag.ConnectionLost),
  );
  harness.answer(harness.takeCalls("hold").at(-1), CONNECTION_REFUSED);
  expect(harness.settlementOf(10)).toEqual(
    notStarted(NotStartedReason.WorkerUnresponsive),
  );
  expect(harness.eventContexts(EventNumber.RunDoubtful)).toEqual([]);
});

test("start calls that were not sent count for the worker's health, and it is offered again once it answers", () => {
  const harness = WorkerGuardHarness.ready();
  for (let request = 10; request < 14; request += 1) {
    harness.runTask(request, { job: `job-${request}`, millicores: 1_000 });
    harness.answer(harness.takeCalls("start")[0], notSent(ErrorTag.TimedOut));
  }
  harness.runTask(14, { job: "a", millicores: 1_000 });
  expect(harness.takeCalls("start")).toEqual([]);
  expect(harness.settlementOf(14)).toEqual(
    notStarted(NotStartedReason.WorkerUnresponsive),
  );
  harness.answerPoll({});
  harness.runTask(15, { job: "b", millicores: 1_000 });
  expect(harness.takeCalls("start").length).toEqual(1);
});

test("a run that was cancelled before its start call turned out not to be sent is stopped as before", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.cancelTask(11, { job: "a" });
  harness.answer(harness.takeCalls("start")[0], notSent(ErrorTag.TimedOut));
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.answer(harness.takeCalls("stop")[0], {
    kind: WorkerAnswerKind.Accepted,
  });
  harness.answerPoll({});
  expect(harness.settlementOf(10)).toEqual(
    interrupted(InterruptionReason.Cancelled),
  );
});

test("a run whose start call has no answer yet does not count among those of a crash", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.answer(harness.takeCalls("hold").at(-1), CONNECTION_REFUSED);
  expect(harness.settlementOf(10)).toEqual(LOST);
});

test("a run whose start call broke with its connection is suspected, but not confirmed, when its worker has crashed", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.answer(harness.takeCalls("start")[0], CONNECTION_LOST);
  harness.answer(harness.takeCalls("hold").at(-1), CONNECTION_REFUSED);
  expect(harness.settlementOf(10)).toEqual(
    crashed(CrashProof.Unconfirmed),
  );
});

test("a run whose start call broke after the poll had is not suspected when its worker has crashed", () => {
  const harness = WorkerGuardHarness.ready();
  harness.answer(harness.takeCalls("hold").at(-1), CONNECTION_LOST);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.answer(harness.takeCalls("start")[0], CONNECTION_LOST);
  harness.answer(harness.takeCalls("hold").at(-1), CONNECTION_REFUSED);
  expect(harness.settlementOf(10)).toEqual(BESIDE);
});

test("a run that a later incarnation of the worker ends before its start is answered does not count among those of a crash", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({});
  expect(harness.settlementOf(10)).toEqual(LOST);
});

test("the entries hear of a crash that no run explains, as when its runs had begun long before", () => {
  const harness = WorkerGuardHarness.ready();
  harness.learnEntries([ENTRY]);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.advanceTo(2 * SUSPICION_MILLISECONDS);
  harness.runTask(11, { job: "b", millicores: 1_000 });
  harness.answer(harness.takeCalls("start")[0], CONNECTION_REFUSED);
  expect(harness.settlementOf(10)).toEqual(
    crashed(CrashProof.Alone),
  );
  expect(harness.crashReports).toEqual([{ to: ENTRY, suspects: [] }]);
});

test("a run that was cancelled before its start call was answered is not suspected when its worker has crashed", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.cancelTask(11, { job: "a" });
  harness.answer(harness.takeCalls("hold").at(-1), CONNECTION_REFUSED);
  expect(harness.settlementOf(10)).toEqual(LOST);
});
