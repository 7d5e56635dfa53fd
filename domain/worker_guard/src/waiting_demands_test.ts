/**
 * Tests that entries learn of more urgent work that waits elsewhere for a worker.
 */
import { test } from "node:test";
import {
  type DispatchReply,
  DispatchReplyKind,
  type ProcessIdentifier,
  type WorkerLoad,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  CAPACITY_MILLICORES,
  ENTRY,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

const OTHER_ENTRY: ProcessIdentifier = "entry-2~a";

function waitingIn(
  message: DispatchReply | undefined,
): WorkerLoad["waiting"] {
  return message !== undefined && "load" in message
    ? message.load?.waiting
    : undefined;
}

test("an entry is told the demands of others, not its own, so that it does not wait for itself", () => {
  const harness = WorkerGuardHarness.ready();
  harness.openSession(OTHER_ENTRY, 2);
  harness.runTask(10, { job: "a", millicores: CAPACITY_MILLICORES });
  harness.acceptStarts();
  harness.watchLoad(OTHER_ENTRY, 32, { priority: 1 });
  harness.renewSession(ENTRY, 33);
  harness.renewSession(OTHER_ENTRY, 34);
  expect(waitingIn(harness.messagesTo(33)[0])).toEqual([
    { priority: 1, millicores: CAPACITY_MILLICORES },
  ]);
  expect(waitingIn(harness.messagesTo(34)[0])).toEqual(undefined);
});

test("the demand of an entry that has left does not hold others back", () => {
  const harness = WorkerGuardHarness.ready();
  harness.openSession(OTHER_ENTRY, 2);
  harness.runTask(10, { job: "a", millicores: CAPACITY_MILLICORES });
  harness.acceptStarts();
  harness.watchLoad(OTHER_ENTRY, 32, { priority: 0 });
  for (let now = 150; now <= 900; now += 150) {
    harness.renewSession(ENTRY);
    harness.advanceTo(now);
  }
  harness.renewSession(ENTRY, 33);
  expect(harness.repliesTo(33)).toEqual([DispatchReplyKind.SessionGranted]);
  expect(harness.messagesTo(33).map(waitingIn)).toEqual([undefined]);
});

test("the demand of a job whose latest start has passed holds no others back", () => {
  const harness = WorkerGuardHarness.ready();
  harness.openSession(OTHER_ENTRY, 2);
  harness.runTask(10, { job: "a", millicores: CAPACITY_MILLICORES });
  harness.acceptStarts();
  harness.watchLoad(OTHER_ENTRY, 32, { priority: 0, slack: 50 });
  harness.advanceTo(100);
  harness.renewSession(ENTRY, 33);
  expect(harness.messagesTo(33).map(waitingIn)).toEqual([undefined]);
});
