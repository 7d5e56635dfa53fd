/**
 * Loads during outages that crash several workers, alone and beside jobs that crash workers themselves. For more
 * seeds: `npm run soak -- --work worker-outages --seeds 50`.
 */
import { test } from "node:test";
import { expect } from "earl";
import {
  DEADLY_MILLISECONDS,
  type OutageReport,
  OutageRule,
  OUTAGES,
  runOutages,
} from "./outage_run.ts";

const SEEDS = [1, 7];
const SEEDS_BESIDE_DEADLY_JOBS = [2];

function violationsOf(
  reports: readonly OutageReport[],
  rule: OutageRule,
): readonly string[] {
  return reports.flatMap(({ seed, violations }) =>
    violations.filter((violation) => violation.rule === rule)
      .map(({ at, detail }) => `seed ${seed} at ${at.toFixed(1)}: ${detail}`)
  );
}

for (const { name, outages } of OUTAGES) {
  for (const deadlyMilliseconds of [undefined, ...DEADLY_MILLISECONDS]) {
    const seeds = deadlyMilliseconds === undefined
      ? SEEDS
      : SEEDS_BESIDE_DEADLY_JOBS;
    const reports = seeds.map((seed) =>
      runOutages({
        seed,
        outages,
        ...(deadlyMilliseconds === undefined ? {} : { deadlyMilliseconds }),
      })
    );
    const beside = deadlyMilliseconds === undefined
      ? ""
      : `, beside scans that crash workers after ${deadlyMilliseconds} ms`;

    test(`no job is shown as failed for an outage of ${name}${beside}`, () => {
      expect(violationsOf(reports, OutageRule.FalseFailure)).toEqual([]);
    });

    if (deadlyMilliseconds === undefined) continue;
    test(`no task starts three times more after three crashes, with outages of ${name}${beside}`, () => {
      expect(violationsOf(reports, OutageRule.Budget)).toEqual([]);
    });
  }
}
