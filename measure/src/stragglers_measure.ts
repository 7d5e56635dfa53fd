/**
 * What stragglers cost when one of eleven backend servers runs everything ten times as long. Stragglers
 * are waited for and never started a second time.
 */
import type { VirtualSystem } from "@eelgrassfront/emulator";
import type { Milliseconds } from "@eelgrassfront/model";
import type { MeasureOptions } from "./policies_measure.ts";
import { runPolicy } from "./policy_run.ts";
import {
  BASELINE_POLICIES,
  scenario,
  type ScenarioOptions,
  SYSTEM_POLICY,
} from "./policy_scenarios.ts";
import { type PolicyFigures, printRuns } from "./policy_table.ts";

const LOAD_MILLISECONDS: Milliseconds = 60_000;
const SLOWS_AT_MILLISECONDS: Milliseconds = 5_000;
const SLOW_SIDECAR = 4;
const SLOWDOWN = 10;
const LOAD = 0.7;
const JOB_SHARE = 0.05;

/** Measures a backend server whose tasks are stragglers. */
export function measureStragglers(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  const runs = [0, JOB_SHARE].flatMap((jobShare) => {
    const run = scenario(describe(jobShare, options));
    return [SYSTEM_POLICY, ...BASELINE_POLICIES].map((policy) =>
      runPolicy(run, policy)
    );
  });
  return Promise.resolve(printRuns(runs));
}

function describe(
  jobShare: number,
  options: MeasureOptions,
): ScenarioOptions {
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: jobShare === 0 ? "70% single tasks" : "70% with jobs",
    streams: [{ name: "all", load: LOAD, jobShare }],
    prepare: slowBackendServer,
  };
}

function slowBackendServer(system: VirtualSystem): void {
  system.time.after(SLOWS_AT_MILLISECONDS, () => {
    const sidecar = system.sidecars[SLOW_SIDECAR];
    if (sidecar !== undefined) sidecar.backendServer.slowdown = SLOWDOWN;
  });
}
