/**
 * An entry against what sidecars and clients may do: it refuses only what has not run, at once where it
 * cannot be served, and never while a worker has room.
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
import { CAPACITY_MILLICORES, Rig } from "./dispatcher_rig.ts";

test("a job is placed where the most is free and answered when every task has completed", () => {
  const rig = Rig.ready(["near", "far"], { near: 4_000, far: 8_000 });
  rig.handIn(1, { id: "a", tasks: 2, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["far", "far"]);
  rig.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 100 });
  expect(rig.answerTo(1)?.kind).toEqual(ClientAnswerKind.Ended);
});

test("a job that cannot start in time is refused at once, with a time to come back", () => {
  const rig = Rig.ready(["only"], { only: 0 });
  for (let request = 1; request <= 40; request += 1) {
    rig.handIn(request, { id: `job${request}`, tasks: 4, millicores: 4_000 });
  }
  const last = rig.answerTo(40);
  expect(last?.kind).toEqual(ClientAnswerKind.Refused);
  if (last?.kind !== ClientAnswerKind.Refused) return;
  expect(last.reason).toEqual(JobRefusalReason.Overloaded);
  expect(last.retryAfterMilliseconds ?? 0).toBeGreaterThanOrEqual(1_000);
});

test("nothing is refused while a worker has room", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 8, millicores: 1_000 });
  rig.at(5_000 - 1);
  expect(rig.answerTo(1)).toEqual(undefined);
});

test("while no worker is known a job is kept, and placed when one is", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES }, false);
  rig.handIn(1, { id: "a", tasks: 2, millicores: 1_000 });
  expect(rig.answerTo(1)).toEqual(undefined);
  rig.at(1_000);
  rig.at(1_050);
  expect(rig.placedAt()).toEqual(["only", "only"]);
});

test("while no worker is known a job is not kept for ever", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES }, false);
  rig.handIn(1, { id: "a", tasks: 2, millicores: 1_000 });
  rig.at(1_600, { isAnswered: false });
  expect(rig.answerTo(1)?.kind).toEqual(ClientAnswerKind.Refused);
});

test("no task is sent where nothing is free; it waits where any room can serve it", () => {
  const rig = Rig.ready(["one", "two"], { one: 0, two: 0 });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  expect(rig.placedAt()).toEqual([]);
  rig.setFree("two", 1_000);
  rig.at(200);
  expect(rig.placedAt()).toEqual(["two"]);
});

test("a task whose room others took is placed at once where there is room", () => {
  const rig = Rig.ready(["one", "two"], { one: 8_000, two: 7_000 });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  rig.setFree("one", 0);
  rig.settleAll({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.InsufficientCapacity,
  });
  expect(rig.placedAt()).toEqual(["one", "two"]);
});

test("a worker where tasks take far longer than at its peers gets one now and then", () => {
  const free = { one: 8_000, two: 7_000, three: 6_000 };
  const rig = Rig.ready(Object.keys(free), free);
  rig.setSlowness("one", 5);
  rig.at(200);
  rig.handIn(1, { id: "a", tasks: 3, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["one", "two", "two"]);
  rig.at(2_300);
  rig.handIn(2, { id: "b", tasks: 1, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["one", "two", "two", "one"]);
});

test("a task that will take far longer than elsewhere is taken back and begun again", () => {
  const free = { one: 8_000, two: 7_000, three: 6_000 };
  const rig = Rig.ready(Object.keys(free), free);
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  rig.setSlowness("one", 5);
  rig.at(200);
  rig.at(400);
  expect(rig.sent(DispatchRequestKind.CancelTaskAttempt).length).toEqual(1);
  rig.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.Cancelled,
  });
  expect(rig.placedAt()).toEqual(["one", "two"]);
});

test("a job that more urgent work will overtake until it is late is refused at once", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  for (let request = 1; request <= 30; request += 1) {
    rig.at(request * 20);
    rig.handIn(request, { id: `job${request}`, tasks: 1, millicores: 3_000 });
    rig.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 300 });
  }
  rig.setFree("only", 0);
  rig.at(800);
  rig.handIn(40, {
    id: "later",
    tasks: 2,
    millicores: 3_000,
    prefix: "/later/",
  });
  expect(rig.answerTo(40)?.kind).toEqual(ClientAnswerKind.Refused);
});

test("a worker whose tasks stand still gets none for a while", () => {
  const rig = Rig.ready(["one", "two"], { one: 8_000, two: 7_000 });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  rig.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.NoProgress,
  });
  rig.handIn(2, { id: "b", tasks: 1, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["one", "two", "two"]);
});

test("a job whose tasks were at a lost sidecar is never refused as not run", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  for (let now = 0; now <= 4_900; now += 50) rig.at(now, { isAnswered: false });
  expect(rig.answerTo(1)).toEqual(undefined);
  for (let now = 4_950; now <= 5_100; now += 50) {
    rig.at(now, { isAnswered: false });
  }
  expect(rig.answerTo(1)?.kind).toEqual(ClientAnswerKind.GivenUp);
});

test("a task at a lost sidecar is placed again only when it has certainly ended", () => {
  const rig = Rig.ready(["one", "two"], { one: 8_000, two: 7_000 });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["one"]);
  let now = 0;
  for (; now <= 600; now += 50) rig.at(now, { except: "one" });
  expect(rig.placedAt()).toEqual(["one"]);
  for (; now <= 1_700; now += 50) rig.at(now, { except: "one" });
  expect(rig.placedAt()).toEqual(["one", "two"]);
});

test("the alarm is never due at the time at which it rang", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  let now = 0.1 + 0.2;
  for (let ring = 0; ring < 400; ring += 1) {
    rig.at(now, { isAnswered: false });
    const next = rig.nextAlarm() ?? Infinity;
    expect(next).toBeGreaterThan(now);
    now = next;
  }
});

test("a task that its worker failed is tried at another, as often as its route allows", () => {
  const rig = Rig.ready(["one", "two"], { one: 8_000, two: 7_000 });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  const failed = { kind: SettlementKind.Failed, runMilliseconds: 10 } as const;
  rig.settleAll(failed);
  expect(rig.placedAt()).toEqual(["one", "two"]);
  rig.settleAll(failed);
  rig.settleAll(failed);
  expect(rig.answerTo(1)).toEqual(
    {
      kind: ClientAnswerKind.Ended,
      state: "failed",
    } as AnswerClient["answer"],
  );
});

test("an interruption does not count as a failure of the task", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  for (let time = 0; time < 5; time += 1) {
    rig.settleAll({
      kind: SettlementKind.Interrupted,
      reason: InterruptionReason.LeaseExpired,
    });
  }
  expect(rig.answerTo(1)).toEqual(undefined);
});

test("a refusal by the sidecar leaves the job refusable", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  rig.settleAll({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.Draining,
  }, { isTakingWork: false });
  // A job is kept for a while when no worker takes work; its refusal after that must still be true.
  rig.at(1_600, { isAnswered: false });
  expect(rig.answerTo(1)?.kind).toEqual(ClientAnswerKind.Refused);
});

test("the tasks of a client that left are taken back", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 3, millicores: 1_000 });
  rig.step({ kind: DispatchInputKind.ClientDisconnected, request: 1 });
  expect(rig.sent(DispatchRequestKind.CancelTaskAttempt).length).toEqual(3);
});

test("what is not built is refused, and a route that is not there is told", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.step({
    kind: DispatchInputKind.JobSubmitted,
    request: 1,
    target: { host: "checks.example", path: "/scan/a" },
    body: {
      kind: JobRequestKind.Unsupported,
      feature: UnsupportedFeature.DurableJob,
    },
  });
  expect(rig.answerTo(1)).toEqual({
    kind: ClientAnswerKind.Refused,
    reason: JobRefusalReason.Unsupported,
  });
  rig.handIn(2, { id: "b", tasks: 1, millicores: 1, prefix: "/none/" });
  expect(rig.answerTo(2)).toEqual({ kind: ClientAnswerKind.NoSuchRoute });
});

test("a job that no worker could ever run is refused at once", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: CAPACITY_MILLICORES + 1 });
  const answer = rig.answerTo(1);
  expect(answer?.kind).toEqual(ClientAnswerKind.Refused);
});

test("asked to stop, an entry serves what still comes, on connections that end", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.step({ kind: InputKind.DrainRequested });
  rig.at(1_000);
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  rig.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 100 });
  expect(rig.lastAnswer()?.isLast).toEqual(true);
  expect(rig.hasStopped).toEqual(false);
  rig.at(3_000);
  expect(rig.hasStopped).toEqual(true);
});
