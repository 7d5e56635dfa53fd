/**
 * What one of eleven backend servers costs that fails everything at once, in its first minute.
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
const BREAKS_AT_MILLISECONDS: Milliseconds = 5_000;
const BROKEN_SIDECAR = 4;
const LOAD = 0.7;
const JOB_SHARE = 0.05;

/** Measures a backend server that fails everything. */
export function measureBrokenWorkers(
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
    prepare: breakBackendServer,
  };
}

function breakBackendServer(system: VirtualSystem): void {
  system.time.after(BREAKS_AT_MILLISECONDS, () => {
    const sidecar = system.sidecars[BROKEN_SIDECAR];
    if (sidecar !== undefined) sidecar.backendServer.isFailing = true;
  });
}
