/**
 * Clients that leave while their entry is paused and submit their jobs to another one.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  OverlappingRunsHarness,
  RESUBMISSION_MILLISECONDS,
} from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 1_500;
const CLIENT_DEADLINE_MILLISECONDS: Milliseconds = 1_500;
/** Time between the wake-up of an entry and the reading of a connection's end. */
const READ_MILLISECONDS: Milliseconds = 30;

for (const pause of [3_000, 3_500, 4_000]) {
  test(`a job whose client left during a pause of ${pause} ms does not run beside its resubmission`, () => {
    const harness = new OverlappingRunsHarness();
    const [paused] = harness.system.entries;
    paused?.process.pause();
    const submitted = harness.submit(0, "job", RUN_MILLISECONDS);
    harness.advance(CLIENT_DEADLINE_MILLISECONDS + RESUBMISSION_MILLISECONDS);
    harness.submit(1, "job", RUN_MILLISECONDS);
    harness.advance(
      pause - CLIENT_DEADLINE_MILLISECONDS - RESUBMISSION_MILLISECONDS,
    );
    paused?.process.resume();
    harness.advance(READ_MILLISECONDS);
    harness.disconnect(submitted);
    harness.advance(5_000);
    expect(harness.starts).toEqual(1);
    expect(harness.overlaps).toEqual([]);
  });
}

test("a job that was running at a paused entry is not placed again before the end of its client's connection is read", () => {
  const harness = new OverlappingRunsHarness();
  const [paused] = harness.system.entries;
  const submitted = harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(100);
  paused?.process.pause();
  harness.advance(3_000);
  harness.submit(1, "job", RUN_MILLISECONDS);
  harness.advance(500);
  paused?.process.resume();
  harness.advance(READ_MILLISECONDS);
  harness.disconnect(submitted);
  harness.advance(5_000);
  expect(harness.starts).toEqual(2);
  expect(harness.overlaps).toEqual([]);
});

test("a job that is submitted during a pause runs after it if its client still waits", () => {
  const harness = new OverlappingRunsHarness();
  const [paused] = harness.system.entries;
  paused?.process.pause();
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(1_000);
  paused?.process.resume();
  harness.advance(200);
  expect(harness.starts).toEqual(1);
});
