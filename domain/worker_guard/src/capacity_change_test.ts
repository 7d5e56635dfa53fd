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

/** What an entry learns from a renewal of its session. */
function renew(
  harness: WorkerGuardHarness,
  request: number,
  known: Parameters<WorkerGuardHarness["renewSession"]>[2],
) {
  harness.renewSession(ENTRY, request, known);
  return harness.messagesTo(request).at(-1);
}

/** What an entry knows after a complete reply. */
function learn(harness: WorkerGuardHarness, request: number) {
  const reply = renew(harness, request, {});
  if (reply?.kind !== DispatchReplyKind.SessionGranted) return {};
  return {
    knownWorker: reply.profile?.worker ?? "",
    knownProfile: reply.profile?.revision ?? 0,
    knownRevision: reply.load?.revision ?? 0,
  };
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
  let request = 20;
  for (const millicores of [SHRUNK, CAPACITY_MILLICORES]) {
    const known = learn(harness, request);
    const unchanged = renew(harness, request + 1, known);
    expect(unchanged?.kind).toEqual(DispatchReplyKind.SessionRenewed);
    harness.report({ capacityMillicores: millicores });
    const reply = renew(harness, request + 2, known);
    expect(reply?.kind).toEqual(DispatchReplyKind.SessionGranted);
    if (reply?.kind !== DispatchReplyKind.SessionGranted) return;
    expect(reply.profile?.capacity.processorMillicores).toEqual(millicores);
    expect(reply.load?.free.processorMillicores).toEqual(millicores);
    request += 3;
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
  harness.answerPoll({ running: ["old"] });
  harness.runTask(10, { job: "a", millicores: 2 * SHRUNK });
  harness.report({ capacityMillicores: SHRUNK });
  harness.advanceTo(200);
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
