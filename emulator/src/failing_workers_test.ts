/**
 * Loads of a fleet in which a seventh of the workers fail every run for seven seconds, while their health is good.
 */
import { test } from "node:test";
import { expect } from "earl";
import { runFlappingWorkers, WorkerTrouble } from "./flapping_workers_run.ts";
import { kindsOfLargeTasks } from "./large_task_load.ts";

for (const seed of [1, 2, 11]) {
  test(`no job is shown as failed for workers that fail everything, seed ${seed}`, () => {
    const { failed, unanswered } = runFlappingWorkers({
      seed,
      trouble: WorkerTrouble.FailingRuns,
      kinds: kindsOfLargeTasks(0.6),
    });
    expect(failed.flatMap(({ trace }) => trace)).toEqual([]);
    expect(unanswered).toEqual([]);
  });
}
