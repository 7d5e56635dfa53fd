/**
 * Calls that a worker leaves unanswered and may execute seconds later.
 */
import { test } from "node:test";
import { WorkerAnswerKind, WorkerRefusalReason } from "@eelgrassfront/model";
import { expect } from "earl";
import { unanswered, WorkerGuardHarness } from "./worker_guard_harness.ts";

test("a start that a worker executes late is fenced off by the call that follows it", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  const [start] = harness.takeCalls("start");
  harness.answer(start, unanswered());
  const poll = harness.takeCalls("hold").at(-1);
  expect(poll?.fencingToken ?? 0).toBeGreaterThan(start?.fencingToken ?? 0);
});

test("a call that was overtaken by one with a newer token is repeated with that token", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.runTask(11, { job: "b", millicores: 1_000 });
  const [first, second] = harness.takeCalls("start");
  harness.answer(first, unanswered());
  harness.answer(second, {
    kind: WorkerAnswerKind.Refused,
    reason: WorkerRefusalReason.Fenced,
  });
  const [repeated] = harness.takeCalls("start");
  expect(repeated?.fencingToken).toEqual((first?.fencingToken ?? 0) + 1);
});
