/**
 * Runs of single tasks, and of single tasks mixed with jobs, in which one of eleven backend servers becomes
 * faulty at the start of the load. Compares the daemon's policy with the baselines.
 */
import type { FakeBackendServer } from "@eelgrassfront/emulator";
import type { Milliseconds } from "@eelgrassfront/model";
import type { MeasureOptions } from "./policies_measure.ts";
import { runPolicy } from "./policy_run.ts";
import {
  BASELINE_POLICIES,
  createScenario,
  type ScenarioOptions,
  SYSTEM_POLICY,
} from "./policy_scenarios.ts";
import { type PolicyFigures, printRuns } from "./policy_table.ts";

/** Makes a backend server faulty. */
export type Fault = (backendServer: FakeBackendServer) => void;

const LOAD_MILLISECONDS: Milliseconds = 60_000;
const FAULTY_AT_MILLISECONDS: Milliseconds = 5_000;
const FAULTY_SIDECAR_INDEX = 4;
const LOAD = 0.7;
const JOB_SHARE = 0.05;

/** Measures the effect of the fault under each policy. */
export function measureFaultyBackendServer(
  fault: Fault,
  options: MeasureOptions,
): Promise<PolicyFigures> {
  const runs = [0, JOB_SHARE].flatMap((jobShare) => {
    const run = createScenario({
      ...describeScenario(jobShare, fault),
      ...options,
    });
    return [SYSTEM_POLICY, ...BASELINE_POLICIES].map((policy) =>
      runPolicy(run, policy)
    );
  });
  return Promise.resolve(printRuns(runs));
}

function describeScenario(jobShare: number, fault: Fault): ScenarioOptions {
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    load: jobShare === 0 ? "70% single tasks" : "70% with jobs",
    streams: [{ name: "all", load: LOAD, jobShare }],
    scheduleFaults: (system) => {
      system.time.after(FAULTY_AT_MILLISECONDS, () => {
        const sidecar = system.sidecars[FAULTY_SIDECAR_INDEX];
        if (sidecar !== undefined) fault(sidecar.backendServer);
      });
    },
  };
}
