/**
 * Sidecars whose event loop stalls again and again, each time for less than the time that counts as a pause.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  OverlappingRunsHarness,
  RESUBMISSION_MILLISECONDS,
  type Stall,
} from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 3_500;
const LONG_STALL: Stall = { stallMilliseconds: 400, turnMilliseconds: 15 };

test("the runs of a killed entry end before its clients submit again although their sidecar stalls", () => {
  const harness = new OverlappingRunsHarness();
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(245);
  harness.stall(harness.busyVm(), [
    { stallMilliseconds: 195, turnMilliseconds: 8 },
    { stallMilliseconds: 442, turnMilliseconds: 10 },
    { stallMilliseconds: 230, turnMilliseconds: 10 },
    ...Array.from({ length: 5 }, () => LONG_STALL),
  ]);
  harness.advance(206);
  const [entry] = harness.system.entries;
  if (entry !== undefined) harness.system.kill(entry);
  harness.advance(RESUBMISSION_MILLISECONDS);
  harness.submit(1, "job", RUN_MILLISECONDS);
  harness.advance(RUN_MILLISECONDS);
  expect(harness.starts).toEqual(2);
  expect(harness.overlaps).toEqual([]);
});

test("a request to run that was held up starts no task after its session should have ended although the sidecar stalls", () => {
  const harness = new OverlappingRunsHarness();
  const { network, sidecars } = harness.system;
  const [first, second] = sidecars;
  if (first === undefined || second === undefined) {
    throw new TypeError("the fleet has no two sidecars");
  }
  harness.submit(0, "other", 1_000);
  harness.advance(10);
  const stalled = harness.busyVm() === first ? second : first;
  network.holdLink("entry-1~", `${stalled.name}~`);
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.stall(stalled, Array.from({ length: 8 }, () => LONG_STALL));
  harness.advance(2_200);
  expect(harness.starts).toEqual(2);
  network.releaseLink("entry-1~", `${stalled.name}~`);
  harness.advance(2_000);
  expect(harness.overlaps).toEqual([]);
});
