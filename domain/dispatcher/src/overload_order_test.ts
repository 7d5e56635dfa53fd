/**
 * Tests the order of an entry's jobs under overload, and that it leaves workers to more urgent work of others.
 */
import { test } from "node:test";
import {
  ClientAnswerKind,
  DispatchRequestKind,
  JobRefusalReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { DispatcherHarness } from "./dispatcher_harness.ts";

const WORKER = "only";
const LATER = "/later/";

/** Returns the jobs whose tasks were sent and are not settled, in the order of sending. */
function placedJobs(harness: DispatcherHarness): readonly string[] {
  return harness.sent(DispatchRequestKind.RunTask).flatMap(({ message }) =>
    message.kind === DispatchRequestKind.RunTask ? [message.task.job] : []
  );
}

test("less urgent work is not placed where urgent work of another entry waits, beyond a third", () => {
  const harness = DispatcherHarness.ready([WORKER], { [WORKER]: 8_000 });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.setWaiting(WORKER, [{ priority: 0, millicores: 1_000 }]);
  harness.runTo(200);
  harness.submit(2, { id: "b", tasks: 1, millicores: 1_000, prefix: LATER });
  expect(placedJobs(harness)).toEqual(["a"]);
  harness.submit(3, { id: "c", tasks: 1, millicores: 1_000 });
  harness.runTo(300);
  expect(placedJobs(harness)).toEqual(["a", "c", "b"]);
});

test("less urgent work does not starve at an entry that runs nothing at the worker", () => {
  const harness = DispatcherHarness.ready([WORKER], { [WORKER]: 8_000 });
  harness.setWaiting(WORKER, [{ priority: 0, millicores: 1_000 }]);
  harness.runTo(200);
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000, prefix: LATER });
  expect(placedJobs(harness)).toEqual(["a"]);
});

test("without reports of other demands an entry places by its own queue", () => {
  const harness = DispatcherHarness.ready([WORKER], { [WORKER]: 8_000 });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.runTo(200);
  harness.submit(2, { id: "b", tasks: 1, millicores: 1_000, prefix: LATER });
  expect(placedJobs(harness)).toEqual(["a", "b"]);
});

test("a large job that came first does not delay a small one of its priority", () => {
  const harness = DispatcherHarness.ready([WORKER], { [WORKER]: 0 });
  harness.submit(1, { id: "large", tasks: 4, millicores: 1_000 });
  harness.submit(2, { id: "small", tasks: 1, millicores: 1_000 });
  harness.setFree(WORKER, 1_000);
  harness.runTo(200);
  expect(placedJobs(harness)[0]).toEqual("small");
});

test("a job that can no longer meet its objective is refused, and never started", () => {
  const harness = DispatcherHarness.ready([WORKER], { [WORKER]: 0 });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.runTo(400);
  const answer = harness.answerTo(1);
  expect(answer?.kind).toEqual(ClientAnswerKind.Refused);
  if (answer?.kind !== ClientAnswerKind.Refused) return;
  expect(answer.reason).toEqual(JobRefusalReason.WaitedTooLong);
  harness.setFree(WORKER, 8_000);
  harness.runTo(800);
  expect(placedJobs(harness)).toEqual([]);
});
