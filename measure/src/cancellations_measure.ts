/**
 * Waves of cancellations: the teams cancel every second submission, each 200 ms after it arrives. Tasks that
 * have not started are cancelled and take no slot.
 */
import type { VirtualSystem } from "@eelgrassfront/emulator";
import { identifySubmission, type Milliseconds } from "@eelgrassfront/model";
import type { MeasureOptions } from "./policies_measure.ts";
import { type PolicyRunOptions, runPolicy } from "./policy_run.ts";
import {
  BASELINE_POLICIES,
  createScenario,
  SYSTEM_POLICY,
} from "./policy_scenarios.ts";
import type { RunSummary } from "./policy_statistics.ts";
import { type PolicyFigures, printRuns } from "./policy_table.ts";

const LOAD_MILLISECONDS: Milliseconds = 60_000;
const CANCELLED_AFTER_MILLISECONDS: Milliseconds = 200;
const JOB_SHARE = 0.05;
const LOADS = [0.7, 3];

/** Measures waves of cancellations at several loads. */
export function measureCancellations(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  const runs = LOADS.flatMap((load) => runWave(load, options));
  return Promise.resolve(printRuns(runs));
}

function runWave(
  load: number,
  options: MeasureOptions,
): readonly RunSummary[] {
  const run = createScenario({
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${Math.round(load * 100)}%, every second cancelled`,
    streams: [{ name: "all", load, jobShare: JOB_SHARE }],
  });
  const withWave: PolicyRunOptions = {
    ...run,
    scheduleFaults: (system) => cancelEverySecond(system, run),
  };
  return [SYSTEM_POLICY, ...BASELINE_POLICIES].map((policy) =>
    runPolicy(withWave, policy)
  );
}

function cancelEverySecond(
  system: VirtualSystem,
  { arrivals }: PolicyRunOptions,
): void {
  arrivals.forEach(({ at, submission }, index) => {
    if (index % 2 === 0) return;
    system.time.after(at + CANCELLED_AFTER_MILLISECONDS, () => {
      const entry = system.entries[index % system.entries.length];
      if (entry === undefined) return;
      system.cancel(entry, identifySubmission(submission));
    });
  });
}
