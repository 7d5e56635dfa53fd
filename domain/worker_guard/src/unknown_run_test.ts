/**
 * Runs at the worker that no attempt belongs to, such as that of a start call which was executed late.
 */
import { test } from "node:test";
import {
  ErrorTag,
  Step,
  type WorkerAnswer,
  WorkerAnswerKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { ENTRY, WorkerGuardHarness } from "./worker_guard_harness.ts";

const LISTED_FROM = 100;
const LONGEST_WAIT_FOR_STOP = 200;

test("polls do not keep an unknown run alive whose stop is not answered", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  const renewals: number[] = [];
  for (let now = 5; now <= 1_500; now += 5) {
    harness.advanceTo(now);
    if (now % 100 === 0) harness.renewSession(ENTRY);
    for (const call of harness.takeCalls("stop")) {
      harness.answer(call, UNANSWERED);
    }
    for (const call of harness.takeCalls("hold")) {
      if ("leaseUntil" in call.request) renewals.push(now);
      harness.answer(call, listed(now));
    }
  }
  expect(Math.max(...renewals)).toBeLessThanOrEqual(
    LISTED_FROM + LONGEST_WAIT_FOR_STOP,
  );
});

const UNANSWERED: WorkerAnswer = {
  kind: WorkerAnswerKind.Unanswered,
  error: {
    tag: ErrorTag.TimedOut,
    step: Step.ExecuteTask,
    peer: "i-1",
    detail: "no answer in time",
  },
};

function listed(now: number): WorkerAnswer {
  const jobs = now < LISTED_FROM ? ["a"] : ["a", "unknown"];
  return {
    kind: WorkerAnswerKind.Listed,
    bornAt: 1_000,
    clock: now,
    running: jobs.map((job) => ({
      run: { task: { job, step: 0, index: 0 }, run: 1 },
      percent: now % 100,
    })),
    ended: [],
  };
}
