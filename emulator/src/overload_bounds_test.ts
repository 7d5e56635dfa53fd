/**
 * Tests the bounds of docs/design/hard-load.md for an overload that are not reached yet, with the loads of both
 * deployments at 1.3 times their capacity. Listed in KNOWN-RED.txt.
 */
import { test } from "node:test";
import { expect } from "earl";
import { computeLoadBound } from "./load_bound.ts";
import { playLoad, shareInObjective } from "./load_player.ts";
import { valuePerCoreSecond } from "./load_value.ts";
import { BOOKING_OVERLOAD, PAIRING_OVERLOAD } from "./user_loads.ts";

const SEED = 1;
/** Largest distance of the most urgent kind from its bound. */
const URGENT_DISTANCE = 0.02;
/** Largest distance of the value for each core-second from its bound, as a share of the bound. */
const VALUE_DISTANCE = 0.05;

for (const { name, load } of [BOOKING_OVERLOAD, PAIRING_OVERLOAD]) {
  test(`capacity is not spent on work of little value: ${name}`, () => {
    const played = { ...load, seed: SEED };
    expect(valuePerCoreSecond(load, playLoad(played))).toBeGreaterThanOrEqual(
      (1 - VALUE_DISTANCE) * valuePerCoreSecond(load, computeLoadBound(played)),
    );
  });
}

test("in an overload of pairings, less urgent work of one entry does not delay pairings of another", () => {
  const load = { ...PAIRING_OVERLOAD.load, seed: SEED };
  const pairing = shareInObjective(playLoad(load).slice(0, 1));
  const bound = shareInObjective(computeLoadBound(load).slice(0, 1));
  expect(pairing).toBeGreaterThanOrEqual(bound - URGENT_DISTANCE);
});
