/**
 * Workers that leave all calls unanswered for seconds, as a suspended process does, while a run is to be stopped.
 */
import { test } from "node:test";
import { WorkerAnswerKind } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  ENTRY,
  unanswered,
  WorkerGuardHarness,
} from "./worker_guard_harness.ts";

const TIMEOUT_MILLISECONDS = 60;
const FROZEN_UNTIL_MILLISECONDS = 2_000;

/** Leaves every call unanswered from 100 ms on, while a task is cancelled and others run. */
function freezeWorker(harness: WorkerGuardHarness): void {
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.advanceTo(100);
  harness.cancelTask(11, { job: "a" });
  for (let now = 110; now < FROZEN_UNTIL_MILLISECONDS; now += 10) {
    harness.advanceTo(now);
    if (now % 100 === 0) harness.renewSession(ENTRY);
    if (now % TIMEOUT_MILLISECONDS !== 0) continue;
    const calls = [...harness.takeCalls("stop"), ...harness.takeCalls("hold")];
    for (const call of calls) harness.answer(call, unanswered());
  }
}

test("a worker that leaves a stop unanswered for seconds gets tasks again when it answers", () => {
  const harness = WorkerGuardHarness.ready();
  freezeWorker(harness);
  for (let now = FROZEN_UNTIL_MILLISECONDS; now < 3_000; now += 10) {
    harness.advanceTo(now);
    if (now % 100 === 0) harness.renewSession(ENTRY);
    if (now % 500 === 0) harness.report();
    for (const call of harness.takeCalls("stop")) {
      harness.answer(call, { kind: WorkerAnswerKind.Accepted, clock: now });
    }
    for (const call of harness.takeCalls("hold")) {
      harness.answer(call, {
        kind: WorkerAnswerKind.Listed,
        bornAt: 1_000,
        clock: now,
        running: [],
        ended: [],
      });
    }
  }
  harness.runTask(20, { job: "b", millicores: 1_000 });
  expect(harness.settlementOf(20)).toEqual(undefined);
  expect(harness.startedJobs()).toEqual(["a", "b"]);
});

test("a start that a worker has not answered is not settled while the worker may still execute it", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(12, { job: "b", millicores: 1_000 });
  const [start] = harness.takeCalls("start");
  harness.answer(start, unanswered());
  freezeWorker(harness);
  expect(harness.settlementOf(12)).toEqual(undefined);
});
