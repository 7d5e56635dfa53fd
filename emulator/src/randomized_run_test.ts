/**
 * A fixed set of randomised runs. A failure contains its seed; `npm run soak -- --seeds 1 --from SEED`
 * replays the run exactly.
 */
import { once } from "node:events";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { expect } from "earl";
import { runRandomized } from "./randomized_run.ts";
import type { SeedRange } from "./seed_worker.ts";

const SEEDS = 2_001;
const SEEDS_PER_WORKER = 667;
const REGRESSION_SEEDS = [10_087, 10_169, 20_532, 30_820, 13_006_657];

test(`no guarantee is violated in the runs of seeds 1 to ${SEEDS}`, async () => {
  const ranges: SeedRange[] = [];
  for (let from = 1; from <= SEEDS; from += SEEDS_PER_WORKER) {
    ranges.push({ from, until: from + SEEDS_PER_WORKER - 1 });
  }
  const failures = await Promise.all(ranges.map(failuresOf));
  expect(failures.flat()).toEqual([]);
});

for (const seed of REGRESSION_SEEDS) {
  test(`no guarantee is violated in the run of seed ${seed}, which has failed before`, () => {
    expect(runRandomized({ seed }).violations).toEqual([]);
  });
}

test("two runs of a seed are identical", () => {
  const seed = 17;
  expect(runRandomized({ seed })).toEqual(runRandomized({ seed }));
});

async function failuresOf(range: SeedRange): Promise<readonly string[]> {
  const file = new URL("./seed_worker.js", import.meta.url);
  const worker = new Worker(file, { workerData: range });
  const [failures] = await once(worker, "message");
  return failures as readonly string[];
}
