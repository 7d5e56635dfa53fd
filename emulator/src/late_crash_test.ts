/**
 * Loads with jobs that crash each worker that starts one of their tasks, but later than most such work does.
 */
import { test } from "node:test";
import { jobTaskKey } from "@eelgrassfront/model";
import { expect } from "earl";
import { addOutcomes, playLoad, shareInObjective } from "./load_player.ts";
import { kindsAtUtilisation, LOAD_MILLISECONDS } from "./user_loads.ts";

const SECOND = 1_000;
const SEEDS = [1, 2, 3];
/** The users' target for days with trouble, for kinds of work that crash no worker. */
const OTHER_KINDS_SHARE = 0.9;
/** A task is not started three times more once three workers have crashed under it. */
const MAXIMUM_CRASHES = 5;

for (const crashMilliseconds of [140, 160]) {
  const crashes = new Map<string, number>();
  const outcomes = SEEDS.map((seed) =>
    playLoad({
      seed,
      durationMilliseconds: LOAD_MILLISECONDS,
      kinds: kindsAtUtilisation(0.5),
      crashingJobs: {
        kind: "calculation",
        share: 0.1,
        from: 1 * SECOND,
        until: 9 * SECOND,
        crashMilliseconds,
      },
      observer: {
        onStart: () => {},
        onEnd: () => {},
        onCrash: (_, { task }) => {
          const key = `${seed} ${jobTaskKey(task)}`;
          crashes.set(key, (crashes.get(key) ?? 0) + 1);
        },
      },
    })
  );
  const when = `${crashMilliseconds} ms after the start`;

  test(`while calculations crash workers, 90% of the jobs of each other kind meet their objective, ${when}`, () => {
    const shares = addOutcomes(outcomes)
      .filter(({ kind }) => kind !== "calculation")
      .map((outcome) => shareInObjective([outcome]));
    expect(Math.min(...shares)).toBeGreaterThanOrEqual(OTHER_KINDS_SHARE);
  });

  test(`a calculation crashes no more workers than the users allow, ${when}`, () => {
    const counts = [...crashes.values()];
    expect(counts.filter((count) => count > MAXIMUM_CRASHES)).toEqual([]);
  });
}
