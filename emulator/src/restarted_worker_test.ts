/**
 * Workers that crash and are back under their identifier while a start call is on its way.
 */
import { test } from "node:test";
import { type Milliseconds, WorkerCallKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 4_000;
/** The sidecar waits 10 ms for the start, which reaches the restarted worker just before its first list. */
const START_DELAYS: readonly Milliseconds[] = [8.75, 9, 9.25, 9.5, 9.75];
const LATE_STOPS: readonly Milliseconds[] = Array(100).fill(3_000);

test("a task whose start call reaches a restarted worker does not start elsewhere while its stop is late", () => {
  for (const delay of START_DELAYS) {
    const harness = new OverlappingRunsHarness();
    harness.submit(0, "filler", 300);
    harness.advance(100);
    const vm = harness.submitWithLateStart("job", RUN_MILLISECONDS, delay);
    vm.worker?.crash();
    harness.system.startWorker(vm, true);
    harness.delayCalls(vm, WorkerCallKind.Stop, LATE_STOPS);
    harness.advance(RUN_MILLISECONDS);
    expect({ delay, overlaps: harness.overlaps })
      .toEqual({ delay, overlaps: [] });
  }
});
