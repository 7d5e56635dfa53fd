/**
 * Response over ideal of each policy beside the baselines and the bound, at several loads.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { runBound } from "./policy_bound.ts";
import { runPolicy } from "./policy_run.ts";
import {
  BASELINE_POLICIES,
  scenario,
  type ScenarioOptions,
  SYSTEM_POLICY,
} from "./policy_scenarios.ts";
import type { RunSummary } from "./policy_statistics.ts";
import { type PolicyFigures, printRuns } from "./policy_table.ts";

/** Length and seed of a measurement, from the command line. */
export interface MeasureOptions {
  readonly seed?: number;
  readonly loadMilliseconds?: Milliseconds;
  readonly delayMilliseconds?: Milliseconds;
}

const LOAD_MILLISECONDS: Milliseconds = 120_000;
/** Deadline that none misses below full load, so that the policies end the same work. */
const PATIENT_MILLISECONDS: Milliseconds = 120_000;
const JOB_SHARE = 0.05;
const LOADS = [0.3, 0.7, 0.95, 3];

/** Measures single tasks alone, and beside jobs. */
export function measurePolicies(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  const runs = [
    ...LOADS.slice(0, 3).map((load) => single(load, options)),
    ...LOADS.map((load) => mixed(load, options)),
  ];
  return Promise.resolve(printRuns(runs.flatMap(comparePolicies)));
}

/** Runs one load under the bound, the policy of the system and the baselines. */
export function comparePolicies(
  options: ScenarioOptions,
): readonly RunSummary[] {
  const run = scenario(options);
  return [
    runBound(run),
    runPolicy(run, SYSTEM_POLICY),
    ...BASELINE_POLICIES.map((policy) => runPolicy(run, policy)),
  ];
}

function single(load: number, options: MeasureOptions): ScenarioOptions {
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${Math.round(load * 100)}% single tasks alone`,
    streams: [{ name: "all", load }],
  };
}

function mixed(load: number, options: MeasureOptions): ScenarioOptions {
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${Math.round(load * 100)}% single tasks beside jobs`,
    drainMilliseconds: PATIENT_MILLISECONDS,
    streams: [{
      name: "all",
      load,
      jobShare: JOB_SHARE,
      deadlineMilliseconds: PATIENT_MILLISECONDS,
    }],
  };
}
