/**
 * A worker whose capacity shrinks and grows while it runs, as its reports say.
 */
import { test } from "node:test";
import {
  DispatchReplyKind,
  NotStartedReason,
  RunEndKind,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  BORN_AT,
  CAPACITY_MILLICORES,
  ENTRY,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

const SHRUNK = CAPACITY_MILLICORES / 4;

/** What an entry learns when it renews its session and knows the worker. */
function renew(harness: WorkerGuardHarness, request: number, revision: number) {
  harness.renewSession(ENTRY, request, {
    knownWorker: "i-1",
    knownRevision: revision,
  });
  return harness.messagesTo(request).at(-1);
}

/** The revision that the next load carries unless the load changes. */
function revisionOf(harness: WorkerGuardHarness, request: number): number {
  const reply = renew(harness, request, -1);
  return reply !== undefined && "load" in reply
    ? reply.load?.revision ?? -1
    : -1;
}

test("a worker whose capacity has shrunk gets no task beyond it", () => {
  const harness = WorkerGuardHarness.ready();
  harness.report({ capacityMillicores: SHRUNK });
  harness.runTask(10, { job: "a", millicores: SHRUNK });
  harness.runTask(11, { job: "b", millicores: 1 });
  harness.runTask(12, { job: "c", millicores: SHRUNK + 1 });
  expect(harness.startedJobs()).toEqual(["a"]);
  expect(harness.settlementOf(11)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.InsufficientCapacity,
  });
  expect(harness.settlementOf(12)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.ExceedsCapacity,
  });
});

test("a shrunken capacity reaches entries with the next renewal, and so does one that grows again", () => {
  const harness = WorkerGuardHarness.ready();
  const request = 20;
  for (const [index, millicores] of [SHRUNK, CAPACITY_MILLICORES].entries()) {
    const revision = revisionOf(harness, request + 2 * index);
    harness.report({ capacityMillicores: millicores });
    const reply = renew(harness, request + 2 * index + 1, revision);
    expect(reply?.kind).toEqual(DispatchReplyKind.SessionGranted);
    if (reply?.kind !== DispatchReplyKind.SessionGranted) return;
    expect(reply.profile?.capacity.processorMillicores).toEqual(millicores);
    expect(reply.load?.free.processorMillicores).toEqual(millicores);
  }
});

test("while runs exceed a shrunken capacity, nothing more starts; when they end, the rest is used again", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 2 * SHRUNK });
  harness.acceptStarts();
  harness.report({ capacityMillicores: SHRUNK });
  harness.runTask(11, { job: "b", millicores: 1 });
  expect(harness.startedJobs()).toEqual(["a"]);
  harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
  harness.runTask(12, { job: "c", millicores: SHRUNK });
  expect(harness.startedJobs()).toEqual(["a", "c"]);
});

test("an accepted task that a shrunken capacity leaves no room for is returned", () => {
  const harness = WorkerGuardHarness.ready();
  harness.report({ bornAt: BORN_AT + 500 });
  harness.runTask(10, { job: "a", millicores: 2 * SHRUNK });
  harness.report({ capacityMillicores: SHRUNK });
  harness.answerPoll({});
  expect(harness.startedJobs()).toEqual([]);
  expect(harness.settlementOf(10)).toEqual({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.InsufficientCapacity,
  });
});

test("a changed capacity is saved, since a restarted sidecar starts tasks by the saved one", () => {
  const harness = WorkerGuardHarness.ready();
  harness.report({ capacityMillicores: SHRUNK });
  expect(harness.savedCapacity()).toEqual(SHRUNK);
});
