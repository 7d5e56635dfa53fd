/**
 * Requests that reach their entry after their client has submitted the job again to another one.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 3_500;

for (const gap of [1, 40, 1_000]) {
  test(`a request that arrives late, ${gap} ms before the end of its connection, does not run beside its resubmission`, () => {
    const harness = new OverlappingRunsHarness();
    harness.submit(1, "job", RUN_MILLISECONDS);
    harness.advance(500);
    const late = harness.submit(0, "job", RUN_MILLISECONDS);
    harness.advance(gap);
    harness.disconnect(late);
    harness.advance(RUN_MILLISECONDS);
    expect(harness.overlaps).toEqual([]);
  });
}

test("a request and its resubmission that are held up and arrive together do not run beside each other", () => {
  const harness = new OverlappingRunsHarness();
  const late = harness.submit(0, "job", RUN_MILLISECONDS);
  harness.submit(1, "job", RUN_MILLISECONDS);
  harness.advance(1);
  harness.disconnect(late);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});
