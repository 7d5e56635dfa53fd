/**
 * What an entry tells the clients of a job under which workers have crashed, by what is known of its runs there.
 */
import { test } from "node:test";
import {
  type ClientAnswer,
  ClientAnswerKind,
  CrashProof,
  DispatchRequestKind,
  GivenUpReason,
  InputKind,
  InterruptionReason,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  completeAll,
  COMPLETED,
  crashWorkers,
  crashWorkersBeside,
  FAILED,
  readyHarness,
  submit,
} from "./crash_harness.ts";
import type { DispatcherHarness } from "./dispatcher_harness.ts";

const GIVEN_UP: ClientAnswer = {
  kind: ClientAnswerKind.GivenUp,
  reason: GivenUpReason.WorkersCrashed,
};

function harnessWithJob(): DispatcherHarness {
  const harness = readyHarness();
  submit(harness, 1, "a");
  return harness;
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
    CrashProof.Alone,
    CrashProof.Unconfirmed,
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
    CrashProof.Alone,
    CrashProof.Unconfirmed,
  );
  completeAll(harness);
  submit(harness, 2, "b");
  expect(areApart(harness)).toEqual([false]);
});

test("a job is not failed for crashes that jobs beside it may have caused, but given up", () => {
  const harness = harnessWithJob();
  crashWorkers(
    harness,
    CrashProof.Shared,
    CrashProof.Shared,
    CrashProof.Shared,
  );
  expect(harness.placementAddresses().length).toEqual(2);
  expect(harness.answerTo(1)).toEqual(GIVEN_UP);
});

test("a job is not failed for crashes of which a sidecar of an earlier version does not say what it knows", () => {
  const harness = harnessWithJob();
  const reason = InterruptionReason.WorkerCrashed;
  for (let crash = 1; crash <= 3; crash += 1) {
    harness.settleAll({ kind: SettlementKind.Interrupted, reason });
  }
  expect(harness.placementAddresses().length).toEqual(2);
  expect(harness.answerTo(1)).toEqual(GIVEN_UP);
});

test("a job is not failed for one worker that ran nothing else, and one that ran other jobs, but given up", () => {
  const harness = harnessWithJob();
  crashWorkers(
    harness,
    CrashProof.Shared,
    CrashProof.Alone,
    CrashProof.Alone,
  );
  expect(harness.placementAddresses().length).toEqual(2);
  expect(harness.answerTo(1)).toEqual(GIVEN_UP);
});

test("a job is failed once two workers have crashed that ran nothing else", () => {
  const harness = harnessWithJob();
  crashWorkers(
    harness,
    CrashProof.Alone,
    CrashProof.Alone,
  );
  expect(harness.answerTo(1)).toEqual(FAILED);
});

test("a task that ends each worker before it confirms the run is started twice, and its kind of work runs apart", () => {
  const harness = harnessWithJob();
  const proof = CrashProof.Unconfirmed;
  crashWorkers(harness, proof, proof, proof, proof);
  expect(harness.placementAddresses().length).toEqual(2);
  expect(harness.answerTo(1)).toEqual(GIVEN_UP);
  submit(harness, 2, "b");
  expect(areApart(harness)).toEqual([true]);
});

test("a suspect that outlives the next crash beside it is cleared of an unconfirmed one", () => {
  const harness = harnessWithJob();
  crashWorkers(harness, CrashProof.Unconfirmed);
  harness.runTo(200);
  crashWorkersBeside(harness);
  crashWorkers(harness, CrashProof.Unconfirmed);
  expect(harness.answerTo(1)).toEqual(undefined);
});

/** A job under which a reported crash has happened elsewhere, where it ran apart, and then one here, alone. */
function answerAfterReport(proof: CrashProof | undefined) {
  const harness = readyHarness();
  harness.step({
    kind: InputKind.PeerRequestArrived,
    from: "a~a",
    request: 900,
    message: {
      kind: DispatchRequestKind.ReportCrash,
      suspects: [{
        task: { job: "a", step: 0, index: 0 },
        route: "scan",
        ...(proof === undefined ? {} : { proof }),
      }],
    },
  });
  submit(harness, 1, "a");
  expect(areApart(harness)).toEqual([true]);
  crashWorkers(harness, CrashProof.Alone);
  return harness.answerTo(1);
}

test("a reported crash proves as much as one of the entry's own", () => {
  expect(answerAfterReport(CrashProof.Alone)).toEqual(FAILED);
  expect(answerAfterReport(CrashProof.Shared)).toEqual(GIVEN_UP);
});

test("a job is not failed for a reported run that its worker had not confirmed", () => {
  expect(answerAfterReport(CrashProof.Unconfirmed)).toEqual(undefined);
});

test("a job is not failed for the report of a sidecar that does not say what it knows", () => {
  expect(answerAfterReport(undefined)).toEqual(GIVEN_UP);
});
