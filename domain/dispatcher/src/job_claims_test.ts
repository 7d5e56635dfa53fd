/**
 * Claims of jobs, seen from the entry that accepts a job, from the job's arbiter and from the entry that holds it.
 */
import { test } from "node:test";
import {
  ClientAnswerKind,
  DispatchInputKind,
  type DispatchReply,
  DispatchReplyKind,
  DispatchRequestKind,
  GivenUpReason,
  InterruptionReason,
  type Milliseconds,
  PeerReplyKind,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { entryAmong, jobOf, placements } from "./claims_harness.ts";

const RESUBMISSION_MILLISECONDS: Milliseconds = 1_300;

test("a job is not placed before its arbiter has granted it", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-2", 1), tasks: 2, millicores: 1_000 });
  expect(placements(harness)).toEqual(0);
  harness.answerRequests(DispatchRequestKind.ClaimJob, {
    kind: DispatchReplyKind.JobClaimed,
  });
  expect(placements(harness)).toEqual(2);
});

test("a job is placed at once by the entry that is its arbiter", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-1", 1), tasks: 2, millicores: 1_000 });
  expect(harness.sent(DispatchRequestKind.ClaimJob)).toEqual([]);
  expect(placements(harness)).toEqual(2);
});

test("a job that another entry holds is claimed until it is granted, and not refused as not run", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-2", 1), tasks: 1, millicores: 1_000 });
  for (let time = 200; time <= 4_800; time += 200) {
    harness.answerRequests(DispatchRequestKind.ClaimJob, {
      kind: DispatchReplyKind.JobHeld,
    });
    harness.runTo(time);
  }
  expect(placements(harness)).toEqual(0);
  expect(harness.answerTo(1)).toEqual(undefined);
  harness.answerRequests(DispatchRequestKind.ClaimJob, {
    kind: DispatchReplyKind.JobClaimed,
  });
  expect(placements(harness)).toEqual(1);
});

test("a job that another entry holds is given up at its deadline as one that may have run", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-2", 1), tasks: 1, millicores: 1_000 });
  for (let time = 200; time <= 5_200; time += 200) {
    harness.answerRequests(DispatchRequestKind.ClaimJob, {
      kind: DispatchReplyKind.JobHeld,
    });
    harness.runTo(time);
  }
  expect(harness.answerTo(1)).toEqual({
    kind: ClientAnswerKind.GivenUp,
    reason: GivenUpReason.DeadlinePassed,
  });
});

test("a job whose arbiter is silent is claimed from the next one, and then run without a grant", () => {
  const harness = entryAmong(2);
  const id = jobOf("entry-2", 2, "entry-3");
  harness.submit(1, { id, tasks: 1, millicores: 1_000 });
  harness.runTo(100);
  expect(
    harness.sent(DispatchRequestKind.ClaimJob).map(({ address }) => address),
  ).toEqual(["entry-2", "entry-3"]);
  expect(placements(harness)).toEqual(0);
  harness.runTo(200);
  expect(placements(harness)).toEqual(1);
});

test("a job whose claim is lost is claimed from the next arbiter at once", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-2", 1), tasks: 1, millicores: 1_000 });
  harness.loseRequests(DispatchRequestKind.ClaimJob);
  expect(placements(harness)).toEqual(1);
});

test("a job does not wait for an arbiter that did not answer lately, and is claimed there all the same", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-2", 1);
  harness.submit(1, { id, tasks: 1, millicores: 1_000 });
  harness.loseRequests(DispatchRequestKind.ClaimJob);
  harness.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 10 });
  harness.submit(2, { id, tasks: 1, millicores: 1_000 });
  expect(placements(harness)).toEqual(1);
  const [claim] = harness.sent(DispatchRequestKind.ClaimJob);
  expect(claim?.address).toEqual("entry-2");
});

test("a job stops when a slow arbiter answers late that another entry holds it", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-2", 1), tasks: 1, millicores: 1_000 });
  harness.runTo(100);
  expect(placements(harness)).toEqual(1);
  harness.answerRequests(DispatchRequestKind.ClaimJob, {
    kind: DispatchReplyKind.JobHeld,
  });
  expect(harness.sent(DispatchRequestKind.CancelTaskAttempt).length).toEqual(1);
  harness.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.Cancelled,
  });
  harness.runTo(120);
  expect(placements(harness)).toEqual(0);
  harness.runTo(160);
  harness.answerRequests(DispatchRequestKind.ClaimJob, {
    kind: DispatchReplyKind.JobClaimed,
  });
  expect(placements(harness)).toEqual(1);
});

test("jobs are claimed again after a pause, before they are placed", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-1", 1), tasks: 1, millicores: 1_000 });
  expect(placements(harness)).toEqual(1);
  harness.stallUntil(3_000);
  const [claim] = harness.sent(DispatchRequestKind.ClaimJob);
  expect(claim?.address).toEqual("entry-2");
});

test("an arbiter grants a job to one entry, and to another one when the holder has yielded it", () => {
  const harness = entryAmong(2);
  expect(harness.claimAs("entry-2", "job")).toEqual(
    DispatchReplyKind.JobClaimed,
  );
  expect(harness.claimAs("entry-2", "job")).toEqual(
    DispatchReplyKind.JobClaimed,
  );
  expect(harness.claimAs("entry-3", "job")).toEqual(DispatchReplyKind.JobHeld);
  const [request] = harness.sent(DispatchRequestKind.YieldJob);
  expect(request?.peer).toEqual("entry-2~a");
  harness.answerRequests(DispatchRequestKind.YieldJob, {
    kind: DispatchReplyKind.JobYielded,
  });
  expect(harness.claimAs("entry-3", "job")).toEqual(
    DispatchReplyKind.JobClaimed,
  );
});

const unfinishedHolders: readonly {
  readonly name: string;
  readonly reply: DispatchReply;
}[] = [
  {
    name: "a holder that still has runs",
    reply: { kind: DispatchReplyKind.JobHeld },
  },
  {
    name: "an entry that has started again, whose runs have not ended yet",
    reply: { kind: PeerReplyKind.IncarnationMismatch, current: "entry-2~b" },
  },
];
for (const { name, reply } of unfinishedHolders) {
  test(`an arbiter keeps the grant of ${name}`, () => {
    const harness = entryAmong(2);
    harness.claimAs("entry-2", "job");
    harness.claimAs("entry-3", "job");
    harness.answerRequests(DispatchRequestKind.YieldJob, reply);
    expect(harness.claimAs("entry-3", "job")).toEqual(
      DispatchReplyKind.JobHeld,
    );
  });
}

test("an arbiter grants the job of a silent holder only when its runs have certainly ended", () => {
  const harness = entryAmong(2);
  harness.claimAs("entry-2", "job");
  for (let time = 0; time <= 1_800; time += 200) {
    harness.runTo(time);
    expect(harness.claimAs("entry-3", "job")).toEqual(
      DispatchReplyKind.JobHeld,
    );
    harness.loseRequests(DispatchRequestKind.YieldJob);
  }
  harness.runTo(2_000);
  expect(harness.claimAs("entry-3", "job")).toEqual(
    DispatchReplyKind.JobClaimed,
  );
});

test("an arbiter asks a holder again that was silent long ago", () => {
  const harness = entryAmong(2);
  harness.claimAs("entry-2", "job");
  harness.claimAs("entry-3", "job");
  harness.loseRequests(DispatchRequestKind.YieldJob);
  harness.runTo(5_000);
  expect(harness.claimAs("entry-3", "job")).toEqual(DispatchReplyKind.JobHeld);
});

test("an entry yields a job that was submitted again, once its runs have ended", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-1", 1);
  harness.submit(1, { id, tasks: 1, millicores: 1_000 });
  harness.runTo(RESUBMISSION_MILLISECONDS);
  expect(harness.yieldTo("entry-2", id)).toEqual(DispatchReplyKind.JobHeld);
  expect(harness.answerTo(1)).toEqual({
    kind: ClientAnswerKind.GivenUp,
    reason: GivenUpReason.Resubmitted,
  });
  harness.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.Cancelled,
  });
  expect(harness.yieldTo("entry-2", id)).toEqual(DispatchReplyKind.JobYielded);
});

test("an entry keeps a job whose other copy is too early for a resubmission", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-1", 1);
  harness.submit(1, { id, tasks: 1, millicores: 1_000 });
  harness.runTo(1_000);
  expect(harness.yieldTo("entry-2", id)).toEqual(DispatchReplyKind.JobHeld);
  harness.runTo(2_000);
  const age = 1_000;
  expect(harness.yieldTo("entry-2", id, age)).toEqual(
    DispatchReplyKind.JobHeld,
  );
  expect(harness.answerTo(1)).toEqual(undefined);
});

test("an entry does not yield a job while a run may be left at a sidecar that it has lost", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-1", 1);
  harness.submit(1, { id, tasks: 1, millicores: 1_000 });
  harness.step({ kind: DispatchInputKind.ClientDisconnected, request: 1 });
  harness.runTo(450, { isUp: false });
  harness.runTo(500, { isUp: false });
  expect(harness.yieldTo("entry-2", id)).toEqual(DispatchReplyKind.JobHeld);
  harness.runTo(1_900, { isUp: false });
  expect(harness.yieldTo("entry-2", id)).toEqual(DispatchReplyKind.JobHeld);
  harness.runTo(2_000, { isUp: false });
  expect(harness.yieldTo("entry-2", id)).toEqual(DispatchReplyKind.JobYielded);
});

test("a job that is submitted to the same entry again waits until its cancelled runs have ended", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-1", 1);
  harness.submit(1, { id, tasks: 1, millicores: 1_000 });
  harness.step({ kind: DispatchInputKind.ClientDisconnected, request: 1 });
  harness.submit(2, { id, tasks: 1, millicores: 1_000 });
  expect(placements(harness)).toEqual(1);
  harness.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.Cancelled,
  });
  harness.runTo(100);
  expect(placements(harness)).toEqual(1);
  expect(harness.placementAddresses()).toEqual(["sidecar-1", "sidecar-1"]);
});

test("a job that another entry holds is cancelled there, and its client gets the answer", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-2", 1);
  harness.step({
    kind: DispatchInputKind.JobCancellationRequested,
    request: 1,
    target: { host: "checks.example", path: `/scan/${id}` },
  });
  harness.answerRequests(DispatchRequestKind.LocateJob, {
    kind: DispatchReplyKind.JobLocated,
    holder: { process: "entry-3~a", address: "entry-3" },
  });
  const [sent] = harness.sent(DispatchRequestKind.CancelHeldJob);
  expect(sent?.address).toEqual("entry-3");
  harness.answerRequests(DispatchRequestKind.CancelHeldJob, {
    kind: DispatchReplyKind.JobCancelled,
  });
  expect(harness.answerTo(1)).toEqual({ kind: ClientAnswerKind.Cancelled });
});

test("the cancellation of a job that no entry holds is answered as of an unknown job", () => {
  const harness = entryAmong(1);
  for (const [request, arbiter] of ["entry-1", "entry-2"].entries()) {
    harness.step({
      kind: DispatchInputKind.JobCancellationRequested,
      request,
      target: { host: "checks.example", path: `/scan/${jobOf(arbiter, 1)}` },
    });
    harness.answerRequests(DispatchRequestKind.LocateJob, {
      kind: DispatchReplyKind.JobUnknown,
    });
    expect(harness.answerTo(request)).toEqual({
      kind: ClientAnswerKind.NoSuchJob,
    });
  }
});

test("an entry cancels a job that it holds for the client of another entry", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-1", 1);
  harness.submit(1, { id, tasks: 1, millicores: 1_000 });
  expect(harness.cancelAs("entry-2", id)).toEqual(
    DispatchReplyKind.JobCancelled,
  );
  expect(harness.sent(DispatchRequestKind.CancelTaskAttempt).length).toEqual(1);
  expect(harness.answerTo(1)).toEqual({ kind: ClientAnswerKind.Cancelled });
  expect(harness.cancelAs("entry-2", id)).toEqual(DispatchReplyKind.JobUnknown);
});
