/**
 * Shares are proportional to weights, and no kind of work gets less than its floor.
 */
import { test } from "node:test";
import type { KindOfWork } from "@eelgrassfront/model";
import { expect } from "earl";
import { array, assert, double, property, record } from "fast-check";
import { computeShares } from "./shares.ts";

function sharesOfKinds(
  kinds: readonly Pick<KindOfWork, "weight" | "floor">[],
): readonly number[] {
  const shares = computeShares({
    kindsOfWork: kinds.map((kind, index) => ({
      ...kind,
      name: String(index),
      service: "service",
      maximumAttempts: 1,
      defaultDeadlineMilliseconds: 1,
      pricePerSecond: 1,
    })),
    teams: [],
    limits: {
      maximumTasksPerJob: 1,
      retryBudget: 0,
      maximumQueuedTasks: 1,
    },
  });
  return kinds.map((_, index) => shares.ofKind(String(index)));
}

test("shares are proportional to the weights when no floor applies", () => {
  expect(sharesOfKinds([{ weight: 3, floor: 0.1 }, { weight: 1, floor: 0.1 }]))
    .toEqual([0.75, 0.25]);
});

test("a kind gets its floor and the others divide the rest", () => {
  const shares = sharesOfKinds([
    { weight: 98, floor: 0 },
    { weight: 2, floor: 0.2 },
  ]);
  expect(shares.map((share) => Math.round(share * 100))).toEqual([80, 20]);
});

test("no share is below its floor, and all shares sum to 1", () => {
  const kinds = array(
    record({
      weight: double({ min: 0.1, max: 100, noNaN: true }),
      floor: double({ min: 0, max: 0.2, noNaN: true }),
    }),
    { minLength: 1, maxLength: 5 },
  );
  assert(
    property(kinds, (described) => {
      const shares = sharesOfKinds(described);
      const sum = shares.reduce((total, share) => total + share, 0);
      expect(Math.abs(sum - 1)).toBeLessThan(0.01);
      described.forEach(({ floor }, index) => {
        expect((shares[index] ?? 0) + 1e-9).toBeGreaterThanOrEqual(floor);
      });
    }),
    { seed: 5 },
  );
});

const ODD_NUMBERS: readonly unknown[] = [undefined, null, "x", NaN, 1e308, {}];

for (const odd of ODD_NUMBERS) {
  test(`a weight or floor of ${String(odd)} does not spoil the shares of the others`, () => {
    for (const kind of [{ weight: odd, floor: 0 }, { weight: 1, floor: odd }]) {
      const shares = sharesOfKinds([
        kind as Pick<KindOfWork, "weight" | "floor">,
        { weight: 1, floor: 0 },
        { weight: 1e308, floor: 0 },
      ]);
      expect(shares.every((share) => share > 0 && share <= 1e9))
        .toEqual(true);
    }
  });
}
