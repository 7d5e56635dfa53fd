/**
 * Tests that overload costs the most urgent callers little and starves nobody: the loads of both deployments at
 * 1.3 times their capacity beside an omniscient scheduler. One seed keeps the runs short; `best-effort-load`
 * plays three. What is not reached yet is in `overload_bounds_test.ts`.
 */
import { test } from "node:test";
import { expect } from "earl";
import { computeLoadBound } from "./load_bound.ts";
import { playLoad, shareInObjective } from "./load_player.ts";
import { BOOKING_OVERLOAD, PAIRING_OVERLOAD } from "./user_loads.ts";

const SEED = 1;
/** Largest distance of the most urgent kind from its bound, of docs/design/hard-load.md. */
const URGENT_DISTANCE = 0.02;
/** Part of its bound that the least urgent kind gets. */
const LEAST_URGENT_PART = 0.5;

test("in an overload of bookings, less urgent work of one entry does not delay probes of another", () => {
  const load = { ...BOOKING_OVERLOAD.load, seed: SEED };
  const probe = shareInObjective(playLoad(load).slice(0, 1));
  const bound = shareInObjective(computeLoadBound(load).slice(0, 1));
  expect(probe).toBeGreaterThanOrEqual(bound - URGENT_DISTANCE);
});

for (const { name, load } of [BOOKING_OVERLOAD, PAIRING_OVERLOAD]) {
  test(`the least urgent kind does not starve: ${name}`, () => {
    const played = { ...load, seed: SEED };
    const share = shareInObjective(playLoad(played).slice(-1));
    const bound = shareInObjective(computeLoadBound(played).slice(-1));
    expect(share).toBeGreaterThanOrEqual(LEAST_URGENT_PART * bound);
  });
}
