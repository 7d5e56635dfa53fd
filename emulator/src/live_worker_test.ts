/**
 * Tests that a worker which still runs its tasks is not taken for one that has ended.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import { Disruption } from "./dispatch_disruptions.ts";
import { runDispatch } from "./dispatch_run.ts";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 4_000;

test("a task of a worker that refuses connections while it runs on does not start elsewhere before its lease ends", () => {
  const harness = new OverlappingRunsHarness();
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const { worker } = harness.busyVm();
  if (worker !== undefined) worker.isRefusingConnections = true;
  harness.advance(RUN_MILLISECONDS);
  expect(harness.starts).toEqual(2);
  expect(harness.overlaps).toEqual([]);
});

test("no task overlaps with itself in runs with workers that refuse connections while they run on", () => {
  for (const seed of [1, 2, 4]) {
    const { violations: found } = runDispatch({
      seed,
      disruptions: [Disruption.RefusedConnections],
      onlyDisruptions: true,
    });
    expect({ seed, found }).toEqual({ seed, found: [] });
  }
});
