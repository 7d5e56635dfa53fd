/**
 * The division gives each slot to exactly one owner, in proportion to the owners' shards.
 */
import { test } from "node:test";
import type { ProcessIdentifier } from "@eelgrassfront/model";
import { expect } from "earl";
import { array, assert, integer, property } from "fast-check";
import { quotaOf } from "./slot_quota.ts";

function runnerName(rank: number): ProcessIdentifier {
  return `sidecar-${rank}~1`;
}

test("every slot belongs to exactly one owner, and none to the owner on the runner's VM", () => {
  const cases = array(integer({ min: 1, max: 40 }), {
    minLength: 2,
    maxLength: 6,
  });
  assert(
    property(cases, integer({ min: 1, max: 16 }), (shards, slots) => {
      const owners = shards.map((count, index) => ({
        owner: runnerName(index),
        shards: count,
      }));
      for (let rank = 0; rank < 11; rank += 1) {
        const runner = runnerName(rank);
        const division = { runner, rank, slots, owners };
        const quotas = owners.map(({ owner }) => quotaOf(owner, division));
        expect(quotas.every((quota) => quota >= 0)).toEqual(true);
        expect(quotas.reduce((sum, quota) => sum + quota, 0)).toEqual(slots);
        expect(quotaOf(runner, division)).toEqual(0);
      }
    }),
    { seed: 5 },
  );
});

test("the slots of all runners are divided in proportion to the owners' shards", () => {
  const owners = [20, 20, 40].map((shards, index) => ({
    owner: `owner-${index}~1` as const,
    shards,
  }));
  const slots = owners.map(({ owner }) => {
    let sum = 0;
    for (let rank = 0; rank < 100; rank += 1) {
      const runner = runnerName(rank);
      sum += quotaOf(owner, { runner, rank, slots: 8, owners });
    }
    return sum;
  });
  expect(slots.map((count) => Math.round(count / 10))).toEqual([20, 20, 40]);
});

test("an owner without shards has no slots", () => {
  const division = { runner: runnerName(0), rank: 0, slots: 8, owners: [] };
  expect(quotaOf("sidecar-1~1", division)).toEqual(0);
});
