/**
 * Value that clients get from the jobs of a load, by their kind and by whether they end in time.
 */
import type { LoadKind } from "./load_arrivals.ts";
import {
  type KindOutcome,
  type PlayedLoad,
  SMALL_FLEET,
  WORKER_MILLICORES,
} from "./load_player.ts";
import { workerKindAt } from "./dispatch_vm.ts";

const MILLICORES_PER_CORE = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the value of the jobs for each second of each core in the fleet; 0 for kinds without a value. */
export function valuePerCoreSecond(
  load: Omit<PlayedLoad, "seed">,
  outcomes: readonly KindOutcome[],
): number {
  const coreSeconds = coresOf(load) * load.durationMilliseconds /
    MILLISECONDS_PER_SECOND;
  return valueOf(load.kinds, outcomes) / coreSeconds;
}

function valueOf(
  kinds: readonly LoadKind[],
  outcomes: readonly KindOutcome[],
): number {
  return outcomes.reduce((sum, { kind, inObjective, late }) => {
    const value = kinds.find(({ name }) => name === kind)?.value;
    if (value === undefined) return sum;
    return sum + value.inTime * inObjective + value.late * late;
  }, 0);
}

function coresOf(
  { fleet = SMALL_FLEET, workerKinds = [] }: Omit<PlayedLoad, "seed">,
): number {
  let millicores = 0;
  for (let index = 0; index < fleet.workers; index += 1) {
    millicores += workerKindAt(workerKinds, index)?.capacityMillicores ??
      WORKER_MILLICORES;
  }
  return millicores / MILLICORES_PER_CORE;
}
