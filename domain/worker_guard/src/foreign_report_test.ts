/**
 * Reports that do not come from the sidecar's worker: another writer's, and late or false ones of other incarnations.
 */
import { test } from "node:test";
import {
  DispatchInputKind,
  DispatchReplyKind,
  NotStartedReason,
  SettlementKind,
  type WorkerAnswer,
  WorkerAnswerKind,
  type WorkerDescription,
  WorkerPhase,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { notStarted } from "./run_settlement.ts";
import {
  BORN_AT,
  CAPACITY_MILLICORES,
  ENTRY,
  unanswered,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

const LATER = BORN_AT + 500;
const OTHER_INCARNATION: WorkerAnswer = {
  kind: WorkerAnswerKind.Refused,
  reason: WorkerRefusalReason.IncarnationMismatch,
};

function listOf(bornAt: number): WorkerAnswer {
  const kind = WorkerAnswerKind.Listed;
  return { kind, bornAt, clock: 0, running: [], ended: [] };
}

function sendReport(
  harness: WorkerGuardHarness,
  changes: Partial<WorkerDescription>,
): void {
  const description: WorkerDescription = {
    incarnation: { id: "i-other", bornAt: LATER },
    service: "service",
    address: "127.0.0.1:8080",
    phase: WorkerPhase.Ready,
    capacity: {
      processorMillicores: CAPACITY_MILLICORES,
      memoryMegabytes: 1_000,
      accelerators: 0,
    },
    labels: [],
    sequence: 9,
    clock: 0,
    ...changes,
  };
  harness.step({ kind: DispatchInputKind.WorkerReported, description });
}

/** A sidecar whose worker runs job `a`. */
function busyHarness(): WorkerGuardHarness {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.takeCalls("hold");
  return harness;
}

/** Whether the worker still runs job `a` and gets new tasks. */
function expectWorkerInUse(harness: WorkerGuardHarness): void {
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.runTask(11, { job: "b", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["a", "b"]);
}

test("a report of another writer with a later start does not end the runs of the worker", () => {
  const harness = busyHarness();
  sendReport(harness, { service: "other", address: "127.0.0.2:8080" });
  const [check] = harness.takeCalls("hold");
  expect(check?.address).toEqual("127.0.0.2:8080");
  expect(harness.settlementOf(10)).toEqual(undefined);
  harness.answer(check, unanswered());
  for (let now = 200; now <= 2_200; now += 200) {
    harness.renewSession(ENTRY, 100 + now);
    harness.advanceTo(now);
  }
  expectWorkerInUse(harness);
});

test("a reported incarnation that another one denies at its address is not used", () => {
  const harness = busyHarness();
  sendReport(harness, {});
  harness.answer(harness.takeCalls("hold")[0], OTHER_INCARNATION);
  expectWorkerInUse(harness);
});

test("a report with the worker's identifier and a false start does not end its runs", () => {
  const harness = busyHarness();
  sendReport(harness, { incarnation: { id: "i-1", bornAt: LATER } });
  harness.answer(harness.takeCalls("hold")[0], listOf(BORN_AT));
  expectWorkerInUse(harness);
});

test("a report with another service does not change the worker", () => {
  const harness = busyHarness();
  const incarnation = { id: "i-1", bornAt: BORN_AT };
  sendReport(harness, { incarnation, service: "other" });
  sendReport(harness, { incarnation, address: "127.0.0.2:8080" });
  expect(harness.takeCalls("hold")).toEqual([]);
  harness.renewSession(ENTRY, 20);
  const [reply] = harness.messagesTo(20);
  const profile = reply?.kind === DispatchReplyKind.SessionGranted
    ? reply.profile
    : undefined;
  expect(profile?.service).toEqual("service");
  expectWorkerInUse(harness);
});

test("a report with the worker's start and another identifier does not replace it", () => {
  const harness = busyHarness();
  sendReport(harness, { incarnation: { id: "i-other", bornAt: BORN_AT } });
  harness.answer(harness.takeCalls("hold")[0], OTHER_INCARNATION);
  expectWorkerInUse(harness);
});

test("a worker gets no tasks while a report of a later incarnation is checked", () => {
  const harness = busyHarness();
  sendReport(harness, {});
  harness.runTask(11, { job: "b", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["a"]);
  expect(harness.settlementOf(11)).toEqual(
    notStarted(NotStartedReason.NoWorker),
  );
});

test("a worker offers no capacity while a report of a later incarnation is checked", () => {
  const harness = busyHarness();
  sendReport(harness, {});
  harness.renewSession(ENTRY, 20);
  const [reply] = harness.messagesTo(20);
  const load = reply?.kind === DispatchReplyKind.SessionGranted
    ? reply.load
    : undefined;
  expect(load?.isTakingWork).toEqual(false);
});

test("a first report of another writer does not keep out the worker's own reports", () => {
  const harness = new WorkerGuardHarness();
  sendReport(harness, {});
  harness.answer(harness.takeCalls("hold")[0], OTHER_INCARNATION);
  harness.report();
  harness.answerPoll({});
  harness.openSession(ENTRY, 1);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["a"]);
});

test("a report of a service that the settings do not name is ignored", () => {
  const harness = new WorkerGuardHarness({
    service: "service",
    address: "127.0.0.1:8080",
  });
  sendReport(harness, { service: "other" });
  sendReport(harness, { address: "127.0.0.2:8080" });
  expect(harness.takeCalls("hold")).toEqual([]);
  harness.report();
  expect(harness.takeCalls("hold").length).toEqual(1);
});

test("a reported incarnation that does not answer is asked again and then used", () => {
  const harness = busyHarness();
  sendReport(harness, {});
  harness.answer(harness.takeCalls("hold")[0], unanswered());
  harness.advanceTo(50);
  harness.answer(harness.takeCalls("hold").at(-1), listOf(LATER));
  expect(harness.settlementOf(10)?.kind).toEqual(SettlementKind.Interrupted);
});
