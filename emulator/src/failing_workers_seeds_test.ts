/**
 * Loads beside workers that fail every run, with seeds in which a task has no better worker before its entry
 * knows them.
 */
import { test } from "node:test";
import { expect } from "earl";
import { runFlappingWorkers, WorkerTrouble } from "./flapping_workers_run.ts";
import { kindsOfLargeTasks } from "./large_task_load.ts";

for (const seed of [25, 108]) {
  test(`no job is shown as failed for workers that fail everything, seed ${seed}`, () => {
    const { failed } = runFlappingWorkers({
      seed,
      trouble: WorkerTrouble.FailingRuns,
      kinds: kindsOfLargeTasks(0.6),
    });
    expect(failed.flatMap(({ trace }) => trace)).toEqual([]);
  });
}
