/**
 * Stalls of a sidecar that are too short to count as a pause of its process.
 */
import { test } from "node:test";
import { MAXIMUM_SESSION_MILLISECONDS } from "@eelgrassfront/model";
import { expect } from "earl";
import { ENTRY, WorkerGuardHarness } from "./worker_guard_harness.ts";

const STALLS_AT = 1_180;
const WAKES_AT = 1_670;

test("a sidecar that stalls does not renew the lease of a run beyond the longest duration of its session", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  const renewedAt = 600;
  for (let now = 10; now <= STALLS_AT; now += 10) {
    harness.advanceTo(now);
    if (now <= renewedAt && now % 200 === 0) {
      harness.renewSession(ENTRY, now, { knownClock: now });
    }
    if (now % 100 === 0) harness.answerPoll({ running: ["a"], percent: now });
  }
  expect(harness.takeCalls("stop")).toEqual([]);
  harness.setNow(WAKES_AT);
  expect(WAKES_AT).toBeGreaterThan(renewedAt + MAXIMUM_SESSION_MILLISECONDS);
  harness.answerPoll({ running: ["a"], percent: 99 });
  const renewals = harness.takeCalls("hold")
    .filter(({ request }) => "leaseUntil" in request);
  expect(renewals).toEqual([]);
});
