/**
 * Loads with jobs that crash each worker before it answers the start call of one of their tasks.
 */
import { test } from "node:test";
import { expect } from "earl";
import {
  addOutcomes,
  type KindOutcome,
  playLoad,
  shareInObjective,
} from "./load_player.ts";
import { kindsAtUtilisation, LOAD_MILLISECONDS } from "./user_loads.ts";

const SECOND = 1_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Time after the start, before the worker's answer arrives at the sidecar. */
const CRASH_MILLISECONDS = 0.1;
/** The users' target for days with trouble, for kinds of work that crash no worker. */
const OTHER_KINDS_SHARE = 0.9;

/** Plays a load in which a tenth of the scans crash their workers. */
function playCrashes(seed: number): readonly KindOutcome[] {
  return playLoad({
    seed,
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(0.5),
    crashingJobs: {
      kind: "scan",
      share: 0.1,
      from: 1 * SECOND,
      until: 9 * SECOND,
      crashMilliseconds: CRASH_MILLISECONDS,
    },
  });
}

test("while scans crash workers before these confirm the run, 90% of the jobs of each other kind meet their objective", () => {
  const shares = addOutcomes(SEEDS.map((seed) => playCrashes(seed)))
    .filter(({ kind }) => kind !== "scan")
    .map((outcome) => shareInObjective([outcome]));
  expect(Math.min(...shares)).toBeGreaterThanOrEqual(OTHER_KINDS_SHARE);
});
