/**
 * Tests that a job whose entry is killed does not run beside its resubmission.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  OverlappingRunsHarness,
  RESUBMISSION_MILLISECONDS,
} from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 10_000;

test("a task of a killed entry does not run beside its job's resubmission", () => {
  const harness = new OverlappingRunsHarness();
  const { entry } = harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  harness.system.kill(entry);
  harness.advance(RESUBMISSION_MILLISECONDS);
  harness.submit(1, "job", RUN_MILLISECONDS);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.starts).toEqual(2);
  expect(harness.overlaps).toEqual([]);
});
