/**
 * Loads of a fleet in which a seventh of the workers go down and up again at the same moments. The start calls that
 * their sidecars send before they notice the end of a worker are lost with their connections.
 */
import { test } from "node:test";
import { expect } from "earl";
import { runFlappingWorkers, WorkerTrouble } from "./flapping_workers_run.ts";
import { kindsOfLargeTasks } from "./large_task_load.ts";

for (const seed of [2, 10]) {
  test(`no job is shown as failed for crashes that no run of it has met, seed ${seed}`, () => {
    const { falselyFailed } = runFlappingWorkers({
      seed,
      trouble: WorkerTrouble.Flapping,
      kinds: kindsOfLargeTasks(0.6),
    });
    expect(falselyFailed.flatMap(({ trace }) => trace)).toEqual([]);
  });
}
