/**
 * A fixed set of randomised runs. A failure names its seed; `npm run soak -- --seeds 1 --from SEED`
 * replays it exactly.
 */
import { test } from "node:test";
import { expect } from "earl";
import { runRandomized } from "./randomized_run.ts";

const SEEDS = 2_000;
const SEEDS_PER_TEST = 500;

for (let from = 1; from <= SEEDS; from += SEEDS_PER_TEST) {
  const until = from + SEEDS_PER_TEST - 1;
  test(`every promise holds in the runs of seeds ${from} to ${until}`, () => {
    expect(failuresOf(from, until)).toEqual([]);
  });
}

test("a seed replays exactly", () => {
  const seed = 17;
  expect(runRandomized({ seed })).toEqual(runRandomized({ seed }));
});

function failuresOf(from: number, until: number): readonly string[] {
  const failures: string[] = [];
  for (let seed = from; seed <= until; seed += 1) {
    for (const { rule, detail } of runRandomized({ seed }).violations) {
      failures.push(`seed ${seed}: ${rule}: ${detail}`);
    }
  }
  return failures;
}
