/**
 * What a sidecar says of a run that may have ended before its worker did.
 */
import { test } from "node:test";
import { InterruptionReason, WorkerAnswerKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { interrupted } from "./run_settlement.ts";
import { BORN_AT, WorkerGuardHarness } from "./worker_guard_harness.ts";

test("a run whose stop the worker had accepted does not count as a proven crash under its task", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.cancelTask(11, { job: "a" });
  harness.answer(harness.takeCalls("stop")[0], {
    kind: WorkerAnswerKind.Accepted,
  });
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({});
  expect(harness.settlementOf(10)).toEqual(
    interrupted(InterruptionReason.BesideCrash),
  );
});
