/**
 * Stops that a worker does not answer, while it still answers polls.
 */
import { test } from "node:test";
import { type CallWorker, WorkerAnswerKind } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  ENTRY,
  unanswered,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

/** Leaves every stop call unanswered and answers every poll, from the end of the session on. */
function leaveStopsUnanswered(harness: WorkerGuardHarness, until: number) {
  const renewals: number[] = [];
  let stops = 0;
  for (let now = 600; now <= until; now += 5) {
    harness.advanceTo(now);
    for (const call of harness.takeCalls("stop")) {
      stops += 1;
      harness.answer(call, unanswered());
    }
    for (const call of harness.takeCalls("hold")) {
      if (renewsLease(call)) renewals.push(now);
      harness.answer(call, listed(now));
    }
  }
  return { renewals, stops };
}

test("polls do not keep a run alive whose stop is not answered", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.openSession("entry-2~a", 11);
  harness.renewSession(ENTRY);
  const { renewals } = leaveStopsUnanswered(harness, 1_500);
  expect(Math.max(...renewals)).toBeLessThanOrEqual(750);
});

test("a stop that is not answered is repeated many times before its client submits again", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  const { stops } = leaveStopsUnanswered(harness, 1_900);
  expect(stops).toBeGreaterThanOrEqual(40);
});

function renewsLease({ request }: CallWorker): boolean {
  return "leaseUntil" in request;
}

function listed(now: number) {
  return {
    kind: WorkerAnswerKind.Listed,
    bornAt: 1_000,
    clock: now,
    running: [{
      run: { task: { job: "a", step: 0, index: 0 }, run: 1 },
      percent: now % 100,
    }],
    ended: [],
  } as const;
}
