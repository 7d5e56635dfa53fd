/**
 * Randomised runs of best-effort work with one disruption each, without the usual faults. A failure contains its
 * seed; `npm run soak -- --work best-effort --only-disruptions --disruptions KINDS --seeds 1 --from SEED` replays it.
 */
import { test } from "node:test";
import { expect } from "earl";
import { Disruption } from "./dispatch_disruptions.ts";
import { runDispatch } from "./dispatch_run.ts";

const SEEDS = 8;

const DISRUPTIONS = [
  Disruption.DelayedGrants,
  Disruption.DelayedStops,
  Disruption.HeldMessages,
  Disruption.SidecarOutages,
  Disruption.WorkerRestarts,
  Disruption.ClientResubmissions,
  Disruption.EntryPauses,
  Disruption.SidecarPauses,
  Disruption.EntryKills,
  Disruption.EntryLags,
  Disruption.SidecarLags,
];

for (const disruption of DISRUPTIONS) {
  test(`no guarantee is violated with long tasks and ${disruption}`, () => {
    const disruptions = [Disruption.LongTasks, disruption];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { violations: found } = runDispatch({
        seed,
        disruptions,
        onlyDisruptions: true,
      });
      expect({ seed, found }).toEqual({ seed, found: [] });
    }
  });
}
