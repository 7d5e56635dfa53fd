/**
 * Tests that renewals of a session which arrive late extend no run whose task runs elsewhere.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 10_000;

test("renewals that arrive late do not keep a task running that runs elsewhere", () => {
  const harness = new OverlappingRunsHarness();
  const { network } = harness.system;
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const vm = harness.busyVm();
  for (let delay = 0; delay <= 1_800; delay += 200) {
    network.delayLink("entry-1~", `${vm.name}~`, delay);
    harness.advance(600);
  }
  network.cutLink(`${vm.name}~`, "entry-1~");
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});
