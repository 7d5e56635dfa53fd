/**
 * What an entry tells the clients of a job under which workers have crashed, by what is known of its runs there.
 */
import { test } from "node:test";
import {
  BestEffortJobState,
  type ClientAnswer,
  ClientAnswerKind,
  type CrashReason,
  DispatchRequestKind,
  GivenUpReason,
  InputKind,
  InterruptionReason,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  CAPACITY_MILLICORES,
  DispatcherHarness,
} from "./dispatcher_harness.ts";

const SIDECARS = ["a", "b", "c", "d", "e", "f"];
const COMPLETED: ClientAnswer = {
  kind: ClientAnswerKind.Ended,
  state: BestEffortJobState.Completed,
};
const FAILED: ClientAnswer = {
  kind: ClientAnswerKind.Ended,
  state: BestEffortJobState.Failed,
};
const GIVEN_UP: ClientAnswer = {
  kind: ClientAnswerKind.GivenUp,
  reason: GivenUpReason.WorkersCrashed,
};

function harnessWithJob(): DispatcherHarness {
  const free = SIDECARS.map((name) => [name, CAPACITY_MILLICORES] as const);
  const harness = DispatcherHarness.ready(SIDECARS, Object.fromEntries(free));
  submit(harness, 1, "a");
  return harness;
}

function submit(harness: DispatcherHarness, request: number, id: string): void {
  harness.submit(request, { id, tasks: 1, millicores: 1_000 });
}

function crashWorkers(
  harness: DispatcherHarness,
  ...reasons: readonly CrashReason[]
): void {
  for (const reason of reasons) {
    harness.settleAll({ kind: SettlementKind.Interrupted, reason });
  }
}

function completeAll(harness: DispatcherHarness): void {
  harness.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 100 });
}

/** Whether each run that is not settled runs apart. */
function areApart(harness: DispatcherHarness): readonly boolean[] {
  return harness.sent(DispatchRequestKind.RunTask).map(({ message }) =>
    message.kind === DispatchRequestKind.RunTask &&
    message.suspectRoute !== undefined
  );
}

test("a job is not failed for a run that its worker had not confirmed", () => {
  const harness = harnessWithJob();
  crashWorkers(
    harness,
    InterruptionReason.WorkerCrashed,
    InterruptionReason.UnconfirmedCrash,
  );
  expect(harness.answerTo(1)).toEqual(undefined);
  expect(areApart(harness)).toEqual([true]);
  completeAll(harness);
  expect(harness.answerTo(1)).toEqual(COMPLETED);
});

test("a run that its worker had not confirmed puts no kind of work under quarantine", () => {
  const harness = harnessWithJob();
  crashWorkers(
    harness,
    InterruptionReason.WorkerCrashed,
    InterruptionReason.UnconfirmedCrash,
  );
  completeAll(harness);
  submit(harness, 2, "b");
  expect(areApart(harness)).toEqual([false]);
});

test("a job is not failed for crashes that jobs beside it may have caused, but given up", () => {
  const harness = harnessWithJob();
  crashWorkers(
    harness,
    InterruptionReason.SharedCrash,
    InterruptionReason.SharedCrash,
    InterruptionReason.SharedCrash,
  );
  expect(harness.placementAddresses().length).toEqual(2);
  expect(harness.answerTo(1)).toEqual(GIVEN_UP);
});

test("a job is failed once a worker has crashed that ran nothing but its suspected task", () => {
  const harness = harnessWithJob();
  crashWorkers(
    harness,
    InterruptionReason.SharedCrash,
    InterruptionReason.WorkerCrashed,
  );
  expect(harness.answerTo(1)).toEqual(FAILED);
});

test("a task that ends each worker before it confirms the run is started three times at most", () => {
  const harness = harnessWithJob();
  const reason = InterruptionReason.UnconfirmedCrash;
  crashWorkers(harness, reason, reason, reason, reason, reason);
  expect(harness.placementAddresses().length).toEqual(3);
  expect(harness.answerTo(1)).toEqual(GIVEN_UP);
});

test("a job is not failed for a reported run that its worker had not confirmed", () => {
  const free = SIDECARS.map((name) => [name, CAPACITY_MILLICORES] as const);
  const harness = DispatcherHarness.ready(SIDECARS, Object.fromEntries(free));
  harness.step({
    kind: InputKind.PeerRequestArrived,
    from: "a~a",
    request: 900,
    message: {
      kind: DispatchRequestKind.ReportCrash,
      suspects: [{
        task: { job: "a", step: 0, index: 0 },
        reason: InterruptionReason.UnconfirmedCrash,
        route: "scan",
      }],
    },
  });
  submit(harness, 1, "a");
  expect(areApart(harness)).toEqual([true]);
  crashWorkers(harness, InterruptionReason.WorkerCrashed);
  expect(harness.answerTo(1)).toEqual(undefined);
});
