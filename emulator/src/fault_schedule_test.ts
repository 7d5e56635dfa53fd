/**
 * Properties over which kinds of faults come together. A counterexample shrinks to the fewest kinds.
 */
import { test } from "node:test";
import * as fastCheck from "fast-check";
import { FaultKind } from "./fault_schedule.ts";
import { runRandomized } from "./randomized_run.ts";

const RUNS = 60;
const PROPERTY_SEED = 20_261;
const LARGEST_SEED = 1_000_000;

test("every promise holds under any choice of the kinds of faults", () => {
  const kinds = fastCheck.subarray(Object.values(FaultKind), { minLength: 1 });
  const seeds = fastCheck.integer({ min: 1, max: LARGEST_SEED });
  fastCheck.assert(
    fastCheck.property(seeds, kinds, (seed, faultKinds) => {
      return runRandomized({ seed, faultKinds }).violations.length === 0;
    }),
    { numRuns: RUNS, seed: PROPERTY_SEED },
  );
});
