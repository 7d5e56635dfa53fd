/**
 * Connections of clients that end without their entry learning of it in time.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  OverlappingRunsHarness,
  RESUBMISSION_MILLISECONDS,
} from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 3_500;

test("a job whose client's connection ended unknown to its entry does not run beside its resubmission", () => {
  const harness = new OverlappingRunsHarness();
  const submitted = harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500 + RESUBMISSION_MILLISECONDS);
  harness.submit(1, "job", RUN_MILLISECONDS);
  harness.advance(100);
  harness.disconnect(submitted);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});
