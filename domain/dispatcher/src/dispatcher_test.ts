/**
 * Scheduling of an entry against simulated sidecars and clients. A job is refused only if none of its tasks
 * has run, at once if it cannot be served in time, and never while a worker has free capacity.
 */
import { test } from "node:test";
import {
  type AnswerClient,
  ClientAnswerKind,
  DispatchInputKind,
  DispatchRequestKind,
  InputKind,
  InterruptionReason,
  JobRefusalReason,
  JobRequestKind,
  NotStartedReason,
  SettlementKind,
  UnsupportedFeature,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  CAPACITY_MILLICORES,
  DispatcherHarness,
} from "./dispatcher_harness.ts";

test("tasks go to the worker with the most free capacity; the job ends when all have completed", () => {
  const harness = DispatcherHarness.ready(["near", "far"], {
    near: 4_000,
    far: 8_000,
  });
  harness.submit(1, { id: "a", tasks: 2, millicores: 1_000 });
  expect(harness.placementAddresses()).toEqual(["far", "far"]);
  harness.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 100 });
  expect(harness.answerTo(1)?.kind).toEqual(ClientAnswerKind.Ended);
});

test("a job that cannot start in time is refused at once with a retry time", () => {
  const harness = DispatcherHarness.ready(["only"], { only: 0 });
  for (let request = 1; request <= 40; request += 1) {
    harness.submit(request, {
      id: `job${request}`,
      tasks: 4,
      millicores: 4_000,
    });
  }
  const last = harness.answerTo(40);
  expect(last?.kind).toEqual(ClientAnswerKind.Refused);
  if (last?.kind !== ClientAnswerKind.Refused) return;
  expect(last.reason).toEqual(JobRefusalReason.Overloaded);
  expect(last.retryAfterMilliseconds ?? 0).toBeGreaterThanOrEqual(1_000);
});

test("no job is refused while a worker has free capacity", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 8, millicores: 1_000 });
  harness.runTo(5_000 - 1);
  expect(harness.answerTo(1)).toEqual(undefined);
});

test("a job that arrives while no worker is known is placed once one is known", () => {
  const harness = DispatcherHarness.ready(
    ["only"],
    { only: CAPACITY_MILLICORES },
    false,
  );
  harness.submit(1, { id: "a", tasks: 2, millicores: 1_000 });
  expect(harness.answerTo(1)).toEqual(undefined);
  harness.runTo(1_000);
  harness.runTo(1_050);
  expect(harness.placementAddresses()).toEqual(["only", "only"]);
});

test("a job is refused when no worker becomes known within 1.5 s", () => {
  const harness = DispatcherHarness.ready(
    ["only"],
    { only: CAPACITY_MILLICORES },
    false,
  );
  harness.submit(1, { id: "a", tasks: 2, millicores: 1_000 });
  harness.runTo(1_600, { isUp: false });
  expect(harness.answerTo(1)?.kind).toEqual(ClientAnswerKind.Refused);
});

test("a task waits at the entry until any worker has free capacity", () => {
  const harness = DispatcherHarness.ready(["one", "two"], { one: 0, two: 0 });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  expect(harness.placementAddresses()).toEqual([]);
  harness.setFree("two", 1_000);
  harness.runTo(200);
  expect(harness.placementAddresses()).toEqual(["two"]);
});

test("a task refused for lack of capacity is placed at once at another worker", () => {
  const harness = DispatcherHarness.ready(["one", "two"], {
    one: 8_000,
    two: 7_000,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.setFree("one", 0);
  harness.settleAll({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.InsufficientCapacity,
  });
  expect(harness.placementAddresses()).toEqual(["one", "two"]);
});

test("a worker far slower than its peers gets only occasional probe tasks", () => {
  const free = { one: 8_000, two: 7_000, three: 6_000 };
  const harness = DispatcherHarness.ready(Object.keys(free), free);
  harness.setSlowness("one", 5);
  harness.runTo(200);
  harness.submit(1, { id: "a", tasks: 3, millicores: 1_000 });
  expect(harness.placementAddresses()).toEqual(["one", "two", "two"]);
  harness.runTo(2_300);
  harness.submit(2, { id: "b", tasks: 1, millicores: 1_000 });
  expect(harness.placementAddresses()).toEqual(["one", "two", "two", "one"]);
});

test("a task at a worker that became slow is cancelled and restarted elsewhere", () => {
  const free = { one: 8_000, two: 7_000, three: 6_000 };
  const harness = DispatcherHarness.ready(Object.keys(free), free);
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.setSlowness("one", 5);
  harness.runTo(200);
  harness.runTo(400);
  expect(harness.sent(DispatchRequestKind.CancelTaskAttempt).length).toEqual(1);
  harness.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.Cancelled,
  });
  expect(harness.placementAddresses()).toEqual(["one", "two"]);
});

test("a worker that reports before its peers that a job runs long keeps its tasks", () => {
  const free = { one: 3_000, two: 2_000, three: 1_000 };
  const harness = DispatcherHarness.ready(Object.keys(free), free);
  harness.submit(1, { id: "a", tasks: 3, millicores: 1_000 });
  harness.runTo(180);
  harness.setSlowness("one", 5);
  harness.settleAll({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.InsufficientCapacity,
  });
  for (const name of Object.keys(free)) harness.setSlowness(name, 5);
  harness.runTo(199);
  harness.runTo(260);
  harness.runTo(460);
  expect(harness.sent(DispatchRequestKind.CancelTaskAttempt)).toEqual([]);
});

test("a job that more urgent work would delay past its objective is refused at once", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  for (let request = 1; request <= 30; request += 1) {
    harness.runTo(request * 20);
    harness.submit(request, {
      id: `job${request}`,
      tasks: 1,
      millicores: 3_000,
    });
    harness.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 300 });
  }
  harness.setFree("only", 0);
  harness.runTo(800);
  harness.submit(40, {
    id: "later",
    tasks: 2,
    millicores: 3_000,
    prefix: "/later/",
  });
  expect(harness.answerTo(40)?.kind).toEqual(ClientAnswerKind.Refused);
});

test("a worker whose task made no progress gets no tasks for a while", () => {
  const harness = DispatcherHarness.ready(["one", "two"], {
    one: 8_000,
    two: 7_000,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.NoProgress,
  });
  harness.submit(2, { id: "b", tasks: 1, millicores: 1_000 });
  expect(harness.placementAddresses()).toEqual(["one", "two", "two"]);
});

test("a job with a task at a lost sidecar is given up, never refused as not run", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  for (let at = 0; at <= 4_900; at += 50) harness.runTo(at, { isUp: false });
  expect(harness.answerTo(1)).toEqual(undefined);
  for (let at = 4_950; at <= 5_100; at += 50) {
    harness.runTo(at, { isUp: false });
  }
  expect(harness.answerTo(1)?.kind).toEqual(ClientAnswerKind.GivenUp);
});

test("a task at a lost sidecar is placed again only after it has certainly ended", () => {
  const harness = DispatcherHarness.ready(["one", "two"], {
    one: 8_000,
    two: 7_000,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  expect(harness.placementAddresses()).toEqual(["one"]);
  let now = 0;
  for (; now <= 1_850; now += 50) harness.runTo(now, { except: "one" });
  expect(harness.placementAddresses()).toEqual(["one"]);
  for (; now <= 2_150; now += 50) harness.runTo(now, { except: "one" });
  expect(harness.placementAddresses()).toEqual(["one", "two"]);
});

test("nothing is placed at a sidecar that leaves a renewal unanswered, before it counts as lost", () => {
  const harness = DispatcherHarness.ready(["one", "two"], {
    one: 8_000,
    two: 7_000,
  });
  for (let now = 0; now <= 350; now += 50) {
    harness.runTo(now, { except: "one" });
  }
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  expect(harness.placementAddresses()).toEqual(["two"]);
});

test("the next alarm is always later than the alarm that fired", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  let now = 0.1 + 0.2;
  for (let count = 0; count < 400; count += 1) {
    harness.runTo(now, { isUp: false });
    const next = harness.nextAlarm() ?? Infinity;
    expect(next).toBeGreaterThan(now);
    now = next;
  }
});

test("a failed task is retried at another worker, up to the maximum attempts of its route", () => {
  const harness = DispatcherHarness.ready(["one", "two"], {
    one: 8_000,
    two: 7_000,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  const failed = { kind: SettlementKind.Failed, runMilliseconds: 10 } as const;
  harness.settleAll(failed);
  expect(harness.placementAddresses()).toEqual(["one", "two"]);
  harness.settleAll(failed);
  harness.settleAll(failed);
  expect(harness.answerTo(1)).toEqual(
    {
      kind: ClientAnswerKind.Ended,
      state: "failed",
    } as AnswerClient["answer"],
  );
});

test("an interruption does not count as a failure of the task", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  for (let time = 0; time < 5; time += 1) {
    harness.settleAll({
      kind: SettlementKind.Interrupted,
      reason: InterruptionReason.LeaseExpired,
    });
  }
  expect(harness.answerTo(1)).toEqual(undefined);
});

test("a job can still be refused after its sidecar did not start the task", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.settleAll({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.Draining,
  }, { isTakingWork: false });
  // While no worker accepts work the job is kept for a while; after that it may still be refused.
  harness.runTo(1_600, { isUp: false });
  expect(harness.answerTo(1)?.kind).toEqual(ClientAnswerKind.Refused);
});

test("the tasks of a client that disconnected are cancelled", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 3, millicores: 1_000 });
  harness.step({ kind: DispatchInputKind.ClientDisconnected, request: 1 });
  expect(harness.sent(DispatchRequestKind.CancelTaskAttempt).length).toEqual(3);
});

test("an unsupported feature is refused, and an unknown route is reported", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.step({
    kind: DispatchInputKind.JobSubmitted,
    request: 1,
    target: { host: "checks.example", path: "/scan/a" },
    body: {
      kind: JobRequestKind.Unsupported,
      feature: UnsupportedFeature.DurableJob,
    },
  });
  expect(harness.answerTo(1)).toEqual({
    kind: ClientAnswerKind.Refused,
    reason: JobRefusalReason.Unsupported,
  });
  harness.submit(2, { id: "b", tasks: 1, millicores: 1, prefix: "/none/" });
  expect(harness.answerTo(2)).toEqual({ kind: ClientAnswerKind.NoSuchRoute });
});

test("a job that no worker could ever run is refused at once", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: CAPACITY_MILLICORES + 1 });
  const answer = harness.answerTo(1);
  expect(answer?.kind).toEqual(ClientAnswerKind.Refused);
});

test("a draining entry still runs new jobs, and closes their connections after the answer", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.step({ kind: InputKind.DrainRequested });
  harness.runTo(1_000);
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 100 });
  expect(harness.lastAnswer()?.isLast).toEqual(true);
  expect(harness.hasStopped).toEqual(false);
  harness.runTo(3_000);
  expect(harness.hasStopped).toEqual(true);
});

/** Sidecars and entries of a fleet in which each entry uses some of the sidecars. */
const MANY_SIDECARS = Array.from({ length: 40 }, (_, index) => `side-${index}`);
const OTHER_ENTRIES = 19;

test("an entry of a large fleet keeps sessions with its share of the sidecars", () => {
  const harness = DispatcherHarness.ready(MANY_SIDECARS, {});
  harness.learnEntries(OTHER_ENTRIES);
  harness.takeRenewals();
  harness.runTo(400);
  const renewed = harness.takeRenewals();
  expect(renewed.size).toBeGreaterThanOrEqual(1);
  expect(renewed.size).toBeLessThanOrEqual(MANY_SIDECARS.length / 2);
});

test("a session with tasks is renewed after its sidecar has passed to other entries", () => {
  const free = Object.fromEntries(MANY_SIDECARS.map((name) => [name, 1_000]));
  const harness = DispatcherHarness.ready(MANY_SIDECARS, free);
  harness.submit(1, { id: "a", tasks: 40, millicores: 1_000 });
  harness.learnEntries(OTHER_ENTRIES);
  harness.runTo(1_000);
  harness.takeRenewals();
  harness.runTo(1_400);
  expect(harness.takeRenewals().size).toEqual(MANY_SIDECARS.length);
  expect(harness.placementAddresses().length).toEqual(MANY_SIDECARS.length);
});

test("a job with a label that no selected worker has waits for the other workers", () => {
  const harness = DispatcherHarness.ready(MANY_SIDECARS, {});
  harness.learnEntries(OTHER_ENTRIES);
  harness.runTo(200);
  harness.submit(1, {
    id: "a",
    tasks: 1,
    millicores: 1_000,
    requiredLabel: "rare",
  });
  expect(harness.answerTo(1)).toEqual(undefined);
  harness.runTo(400);
  harness.submit(2, {
    id: "b",
    tasks: 1,
    millicores: 1_000,
    requiredLabel: "rare",
  });
  const answer = harness.answerTo(2);
  expect(answer?.kind === ClientAnswerKind.Refused && answer.reason).toEqual(
    JobRefusalReason.NoCapableWorker,
  );
});

test("a stall of the entry does not make its sidecars appear lost", () => {
  const harness = DispatcherHarness.ready(["one"], { one: 8_000 });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.runTo(200);
  harness.stallUntil(660);
  harness.runTo(860);
  harness.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 500 });
  expect(harness.answerTo(1)?.kind).toEqual(ClientAnswerKind.Ended);
  expect(harness.placementAddresses()).toEqual(["one"]);
  expect(harness.sent(DispatchRequestKind.OpenSession)).toEqual([]);
});

test("a sidecar that does not reply after a stall of the entry counts as lost", () => {
  const harness = DispatcherHarness.ready(["one"], { one: 8_000 });
  harness.runTo(200);
  harness.runTo(640, { isUp: false });
  harness.runTo(900, { isUp: false });
  harness.takeRenewals();
  harness.runTo(1_400, { isUp: false });
  expect([...harness.takeRenewals()]).toEqual([]);
});
