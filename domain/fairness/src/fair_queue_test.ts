/**
 * The fair queue loses no item, keeps shares under contention, and lets no large job delay other jobs.
 */
import { describe, test } from "node:test";
import { expect } from "earl";
import {
  array,
  assert,
  constantFrom,
  integer,
  property,
  record,
} from "fast-check";
import { FairQueue, type QueueItemMetadata } from "./fair_queue.ts";
import { QueueDisciplineKind } from "./queue_discipline.ts";
import { EQUAL_SHARES, type Shares } from "./shares.ts";

const RUN_MILLISECONDS = 100;

function newQueue<Item>(shares: Shares = EQUAL_SHARES): FairQueue<Item> {
  return new FairQueue<Item>({
    kind: QueueDisciplineKind.WeightedShares,
    shares: () => shares,
  });
}

function itemOf(changes: Partial<QueueItemMetadata> = {}): QueueItemMetadata {
  return {
    submission: "team/key",
    team: "team",
    kindOfWork: "kind",
    servedMilliseconds: 0,
    arrivedAt: 0,
    ...changes,
  };
}

/** Serves up to `times` items and counts them by team or by kind of work. */
function serve(
  queue: FairQueue<QueueItemMetadata>,
  { times, by }: { times: number; by: "team" | "kindOfWork" },
): ReadonlyMap<string, number> {
  const served = new Map<string, number>();
  for (let count = 0; count < times; count += 1) {
    const taken = queue.take(0);
    if (taken === undefined) break;
    queue.charge(taken, RUN_MILLISECONDS);
    served.set(taken[by], (served.get(taken[by]) ?? 0) + 1);
  }
  return served;
}

function fill(
  queue: FairQueue<QueueItemMetadata>,
  { count, ...changes }: Partial<QueueItemMetadata> & { count: number },
): void {
  for (let index = 0; index < count; index += 1) {
    const item = itemOf(changes);
    queue.add(item, item);
  }
}

describe("FairQueue", () => {
  test("returns every item exactly once, under any charges, requeues and removals", () => {
    const steps = array(
      record({
        step: constantFrom("add", "take", "requeue", "charge", "remove"),
        submission: integer({ min: 0, max: 5 }),
        team: integer({ min: 0, max: 2 }),
        kind: integer({ min: 0, max: 1 }),
        served: integer({ min: -500, max: 5_000 }),
      }),
      { maxLength: 200 },
    );
    assert(
      property(steps, (operations) => {
        const queue = newQueue<number>();
        const added = new Map<number, QueueItemMetadata>();
        const returned: number[] = [];
        operations.forEach((operation, index) => {
          const item = itemOf({
            submission: `team-${operation.team}/${operation.submission}`,
            team: `team-${operation.team}`,
            kindOfWork: `kind-${operation.kind}`,
            arrivedAt: index,
          });
          switch (operation.step) {
            case "add":
              added.set(index, item);
              queue.add(item, index);
              return;
            case "take": {
              const taken = queue.take(index);
              if (taken !== undefined) returned.push(taken);
              return;
            }
            case "requeue": {
              const taken = queue.take(index);
              const known = added.get(taken ?? -1);
              if (taken !== undefined && known !== undefined) {
                queue.requeue(known, taken);
              }
              return;
            }
            case "charge":
              queue.charge(item, operation.served);
              return;
            case "remove":
              returned.push(...queue.removeSubmission(item));
              return;
          }
        });
        expect(queue.size).toEqual(added.size - returned.length);
        for (;;) {
          const taken = queue.take(0);
          if (taken === undefined) break;
          returned.push(taken);
        }
        expect(queue.size).toEqual(0);
        expect(returned.sort((left, right) => left - right))
          .toEqual([...added.keys()]);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  test("serves a single task before the rest of a large job", () => {
    const queue = newQueue<QueueItemMetadata>();
    fill(queue, { count: 50, submission: "team/job" });
    serve(queue, { times: 10, by: "team" });
    fill(queue, { count: 1, submission: "team/single", arrivedAt: 9 });
    expect(queue.take(0)?.submission).toEqual("team/single");
  });

  test("holds kinds of work to their shares while both have work", () => {
    const shares: Shares = {
      ofKind: (name) => name === "urgent" ? 0.75 : 0.25,
      ofTeam: () => 1,
    };
    const queue = newQueue<QueueItemMetadata>(shares);
    fill(queue, { count: 500, kindOfWork: "urgent", submission: "team/one" });
    fill(queue, { count: 500, kindOfWork: "batch", submission: "team/two" });
    const served = serve(queue, { times: 400, by: "kindOfWork" });
    expect(Math.abs((served.get("urgent") ?? 0) - 300)).toBeLessThan(3);
  });

  test("bounds the service that a team loses to another team's flood", () => {
    assert(
      property(integer({ min: 1, max: 10 }), (weight) => {
        const queue = newQueue<QueueItemMetadata>({
          ofKind: () => 1,
          ofTeam: (name) => name === "flooding" ? weight : 1,
        });
        for (let index = 0; index < 2_000; index += 1) {
          const submission = `flooding/${index}` as const;
          fill(queue, { count: 1, team: "flooding", submission });
        }
        fill(queue, { count: 300, team: "other", submission: "other/job" });
        const served = serve(queue, { times: 1_000, by: "team" });
        const fairShare = Math.min(300, 1_000 / (weight + 1));
        // The flood may run ahead by the warp of unserved submissions and by the idle credit.
        expect(served.get("other") ?? 0).toBeGreaterThan(fairShare - 60);
      }),
      { seed: 5 },
    );
  });

  test("serves an urgent submission before less-served ones", () => {
    const queue = newQueue<string>();
    queue.add(
      itemOf({ submission: "team/old", servedMilliseconds: 900, urgentAt: 50 }),
      "old",
    );
    queue.add(itemOf({ submission: "team/new", arrivedAt: 40 }), "new");
    expect(queue.take(50)).toEqual("old");
    expect(queue.take(50)).toEqual("new");
  });

  test("removes the matching items and no others", () => {
    const queue = newQueue<number>();
    [1, 2, 3, 4].forEach((item) => queue.add(itemOf(), item));
    expect(queue.removeWhere((item) => item % 2 === 0)).toEqual([2, 4]);
    expect([queue.take(0), queue.take(0), queue.take(0)])
      .toEqual([1, 3, undefined]);
  });
});
