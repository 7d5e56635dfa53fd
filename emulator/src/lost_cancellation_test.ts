/**
 * Tests that a cancellation takes effect although the connection that carries it breaks.
 */
import { test } from "node:test";
import { expect } from "earl";
import {
  OverlappingRunsHarness,
  RESUBMISSION_MILLISECONDS,
} from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS = 4_000;

test("a task whose cancellation is lost does not run beside its job's resubmission", () => {
  const harness = new OverlappingRunsHarness();
  const request = harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  expect(harness.starts).toEqual(1);
  harness.loseMessages(() => harness.disconnect(request));
  harness.advance(RESUBMISSION_MILLISECONDS);
  harness.submit(1, "job", RUN_MILLISECONDS);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});

test("a cancelled task whose request was lost is not requested again after the reconnection", () => {
  const harness = new OverlappingRunsHarness();
  harness.loseMessages(() => {
    const request = harness.submit(0, "job", RUN_MILLISECONDS);
    harness.advance(5);
    harness.disconnect(request);
  });
  harness.advance(RUN_MILLISECONDS);
  expect(harness.starts).toEqual(0);
});
