/**
 * Runs of single tasks, and of single tasks beside jobs, in which one of eleven backend servers becomes
 * faulty after a while: the policy of the system beside the baselines.
 */
import type { FakeBackendServer } from "@eelgrassfront/emulator";
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

/** Makes a backend server faulty. */
export type Fault = (backendServer: FakeBackendServer) => void;

const LOAD_MILLISECONDS: Milliseconds = 60_000;
const FAULTY_AT_MILLISECONDS: Milliseconds = 5_000;
const FAULTY_SIDECAR = 4;
const LOAD = 0.7;
const JOB_SHARE = 0.05;

/** Measures the fault under each policy. */
export function measureFaultyWorker(
  fault: Fault,
  options: MeasureOptions,
): Promise<PolicyFigures> {
  const runs = [0, JOB_SHARE].flatMap((jobShare) => {
    const run = scenario({ ...describe(jobShare, fault), ...options });
    return [SYSTEM_POLICY, ...BASELINE_POLICIES].map((policy) =>
      runPolicy(run, policy)
    );
  });
  return Promise.resolve(printRuns(runs));
}

function describe(jobShare: number, fault: Fault): ScenarioOptions {
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    load: jobShare === 0 ? "70% single tasks" : "70% with jobs",
    streams: [{ name: "all", load: LOAD, jobShare }],
    prepare: (system) => {
      system.time.after(FAULTY_AT_MILLISECONDS, () => {
        const sidecar = system.sidecars[FAULTY_SIDECAR];
        if (sidecar !== undefined) fault(sidecar.backendServer);
      });
    },
  };
}
