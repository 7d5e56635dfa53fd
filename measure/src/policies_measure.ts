/**
 * Ratio of response to ideal under the daemon's policy, the baselines and the bound, at several loads.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { runOmniscientScheduler } from "./policy_bound.ts";
import { runPolicy } from "./policy_run.ts";
import {
  BASELINE_POLICIES,
  createScenario,
  type ScenarioOptions,
  SYSTEM_POLICY,
} from "./policy_scenarios.ts";
import type { RunSummary } from "./policy_statistics.ts";
import { type PolicyFigures, printRuns } from "./policy_table.ts";

/** Overrides of the seed, the length and the network delay; a measure has its own defaults. */
export interface MeasureOptions {
  readonly seed?: number;
  readonly loadMilliseconds?: Milliseconds;
  readonly delayMilliseconds?: Milliseconds;
}

const LOAD_MILLISECONDS: Milliseconds = 120_000;
/** Deadline that no submission misses below full load, so that all policies complete the same work. */
const LONG_DEADLINE_MILLISECONDS: Milliseconds = 120_000;
const JOB_SHARE = 0.05;
const LOADS = [0.3, 0.7, 0.95, 3];

/** Measures single tasks alone, and mixed with jobs. */
export function measurePolicies(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  const runs = [
    ...LOADS.slice(0, 3).map((load) => describeSingleTasks(load, options)),
    ...LOADS.map((load) => describeMixedLoad(load, options)),
  ];
  return Promise.resolve(printRuns(runs.flatMap(comparePolicies)));
}

/** Runs one load under the bound, the daemon's policy and the baselines. */
export function comparePolicies(
  options: ScenarioOptions,
): readonly RunSummary[] {
  const run = createScenario(options);
  return [
    runOmniscientScheduler(run),
    runPolicy(run, SYSTEM_POLICY),
    ...BASELINE_POLICIES.map((policy) => runPolicy(run, policy)),
  ];
}

function describeSingleTasks(
  load: number,
  options: MeasureOptions,
): ScenarioOptions {
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${Math.round(load * 100)}% single tasks alone`,
    streams: [{ name: "all", load }],
  };
}

function describeMixedLoad(
  load: number,
  options: MeasureOptions,
): ScenarioOptions {
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${Math.round(load * 100)}% single tasks beside jobs`,
    drainMilliseconds: LONG_DEADLINE_MILLISECONDS,
    streams: [{
      name: "all",
      load,
      jobShare: JOB_SHARE,
      deadlineMilliseconds: LONG_DEADLINE_MILLISECONDS,
    }],
  };
}
