/**
 * Loads beside workers that fail every run, with seeds in which a task met three such workers before its entry knew
 * them.
 */
import { test } from "node:test";
import { expect } from "earl";
import {
  kindsOfLargeTasks,
  runFlappingWorkers,
  WorkerTrouble,
} from "./flapping_workers_run.ts";

for (const seed of [11, 25]) {
  test(`no job is shown as failed for three workers that fail everything, seed ${seed}`, () => {
    const { failed } = runFlappingWorkers({
      seed,
      trouble: WorkerTrouble.FailingRuns,
      kinds: kindsOfLargeTasks(0.6),
    });
    expect(failed.flatMap(({ trace }) => trace)).toEqual([]);
  });
}
