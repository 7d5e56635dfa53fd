/**
 * Property test over combinations of fault kinds. fast-check shrinks a counterexample to fewer kinds.
 */
import { test } from "node:test";
import * as fastCheck from "fast-check";
import { FaultKind } from "./fault_schedule.ts";
import { runRandomized } from "./randomized_run.ts";

const RUNS = 60;
const PROPERTY_SEED = 20_261;
const LARGEST_SEED = 1_000_000;

test("no guarantee is violated under any combination of fault kinds", () => {
  const kinds = fastCheck.subarray(Object.values(FaultKind), { minLength: 1 });
  const seeds = fastCheck.integer({ min: 1, max: LARGEST_SEED });
  fastCheck.assert(
    fastCheck.property(seeds, kinds, (seed, faultKinds) => {
      return runRandomized({ seed, faultKinds }).violations.length === 0;
    }),
    { numRuns: RUNS, seed: PROPERTY_SEED },
  );
});
