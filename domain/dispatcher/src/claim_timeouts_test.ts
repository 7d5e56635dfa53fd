/**
 * Claims whose arbiter fails, or seems to fail, while its answer is known or waits to be read.
 */
import { test } from "node:test";
import { DispatchReplyKind, DispatchRequestKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { entryAmong, jobOf, placements } from "./claims_harness.ts";

// The timer of a stalled process runs before it reads the answers.
test("a stall of the claiming entry does not count as the silence of an arbiter", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-2", 1), tasks: 1, millicores: 1_000 });
  harness.stallUntil(150);
  expect(placements(harness)).toEqual(0);
  harness.answerRequests(DispatchRequestKind.ClaimJob, {
    kind: DispatchReplyKind.JobHeld,
  });
  harness.runTo(190);
  expect(placements(harness)).toEqual(0);
});

// The loss of the arbiter does not end the runs of a holder that the claimant was told of.
test("a job that another entry holds is not run without a grant when its arbiter is lost", () => {
  const harness = entryAmong(1);
  harness.submit(1, { id: jobOf("entry-2", 1), tasks: 1, millicores: 1_000 });
  harness.answerRequests(DispatchRequestKind.ClaimJob, {
    kind: DispatchReplyKind.JobHeld,
  });
  harness.runTo(60);
  harness.loseRequests(DispatchRequestKind.ClaimJob);
  harness.runTo(100);
  expect(placements(harness)).toEqual(0);
});

// The time for which an entry leaves its jobs to others doubles with each pause and is never reset.
test("an entry arbitrates its own jobs again half a second after a pause, however often it was paused", () => {
  const harness = entryAmong(1);
  for (let pause = 1; pause <= 6; pause += 1) {
    harness.stallUntil(20_000 * pause);
    harness.runTo(20_000 * pause + 18_000);
  }
  harness.stallUntil(140_000);
  harness.runTo(142_000);
  harness.submit(1, { id: jobOf("entry-1", 1), tasks: 1, millicores: 1_000 });
  expect(harness.sent(DispatchRequestKind.ClaimJob)).toEqual([]);
});

// The silence counts from the first request that was lost, however long ago that was.
test("a holder whose answer was lost once is asked again before its job is granted to another entry", () => {
  const harness = entryAmong(2);
  harness.claimAs("entry-2", "job");
  harness.claimAs("entry-3", "job");
  harness.loseRequests(DispatchRequestKind.YieldJob);
  harness.runTo(5_000);
  expect(harness.claimAs("entry-3", "job")).toEqual(DispatchReplyKind.JobHeld);
});

// The age of a job counts from its first copy, although its client submitted it again to the same entry.
test("an entry keeps a job that was submitted to it again when another copy arrives", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-1", 1);
  harness.submit(1, { id, tasks: 1, millicores: 1_000 });
  harness.runTo(1_300);
  harness.submit(2, { id, tasks: 1, millicores: 1_000 });
  harness.runTo(1_350);
  harness.yieldTo("entry-2", id);
  expect(harness.answerTo(2)).toEqual(undefined);
});

// Each claim that is lost with a connection counts as a failure of its own.
test("an arbiter that lost several claims at once is asked again after half a second", () => {
  const harness = entryAmong(1);
  const id = jobOf("entry-2", 1);
  const others = Array.from({ length: 200 }, (_, index) => `other-${index}`);
  for (const [request, other] of others.entries()) {
    harness.submit(request + 10, { id: other, tasks: 1, millicores: 10 });
  }
  harness.loseRequests(DispatchRequestKind.ClaimJob);
  harness.runTo(2_000);
  harness.submit(1, { id, tasks: 1, millicores: 10 });
  const claims = harness.sent(DispatchRequestKind.ClaimJob)
    .filter(({ message }) => "job" in message && message.job === id);
  expect(claims.length).toEqual(1);
  expect(harness.placementAddresses().length).toEqual(others.length);
});
