/**
 * Processor time of one owner for choosing a runner, by size of the fleet. Only the decision is measured.
 */
import { SeededRandom } from "@eelgrassfront/emulator";
import type { ProcessIdentifier } from "@eelgrassfront/model";
import {
  PlacementOutcome,
  type PlacementRequest,
  RunnerPool,
  SLOT_QUOTA_PLACEMENT,
} from "@eelgrassfront/placement";

/** Cost of a placement at one size of the fleet. */
export interface PlacementCost {
  readonly runners: number;
  readonly owners: number;
  readonly microsecondsPerPlacement: number;
}

const SLOTS = 8;
const PLACEMENTS = 20_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
/** Share of the owner's slots that are in use during the measurement. */
const IN_FLIGHT_SHARE = 0.7;

const PLACEMENT_REQUEST: PlacementRequest = {
  service: "service",
  requirements: { processorCores: 1, memoryMegabytes: 1, accelerators: 0 },
  isSubmissionUnserved: true,
  submissionTasks: 1,
};

/** The current size, and growing fleets with one owner for about 30 runners. */
const SIZES = [
  { runners: 11, owners: 3 },
  { runners: 100, owners: 3 },
  { runners: 1_000, owners: 30 },
  { runners: 2_400, owners: 80 },
];

/** Measures the cost of a placement at several sizes of the fleet. */
export function measurePlacementCost(): Promise<
  { readonly costs: readonly PlacementCost[] }
> {
  const costs = SIZES.map(({ runners, owners }) => ({
    runners,
    owners,
    microsecondsPerPlacement: measureSize(runners, owners),
  }));
  return Promise.resolve({ costs });
}

function measureSize(runners: number, owners: number): number {
  const pool = createPool(runners, owners);
  const inFlight: ProcessIdentifier[] = [];
  const target = Math.floor(pool.quotaSlots("service") * IN_FLIGHT_SHARE);
  placeTasks(pool, { inFlight, target, times: PLACEMENTS });
  const before = performance.now();
  placeTasks(pool, { inFlight, target, times: PLACEMENTS });
  const milliseconds = performance.now() - before;
  return milliseconds * MICROSECONDS_PER_MILLISECOND / PLACEMENTS;
}

function createPool(runners: number, owners: number): RunnerPool {
  const random = new SeededRandom(1);
  const pool = new RunnerPool({
    policy: SLOT_QUOTA_PLACEMENT,
    isAvailable: () => true,
    random: () => random.next(),
    now: () => 0,
  });
  for (let index = 0; index < runners; index += 1) {
    const process: ProcessIdentifier = `sidecar-${index}~1`;
    pool.add({
      process,
      address: process,
      backendServer: {
        service: "service",
        slots: SLOTS,
        processorCores: 32,
        memoryMegabytes: 131_072,
        accelerators: 0,
      },
    });
  }
  const weights = Array.from({ length: owners }, (_, index) => ({
    owner: `sidecar-${index}~1` as const,
    shards: 1,
  }));
  pool.divideSlots("sidecar-0~1", weights);
  return pool;
}

function placeTasks(
  pool: RunnerPool,
  { inFlight, target, times }: {
    readonly inFlight: ProcessIdentifier[];
    readonly target: number;
    readonly times: number;
  },
): void {
  for (let count = 0; count < times; count += 1) {
    if (inFlight.length >= target) {
      const ended = inFlight.shift();
      if (ended !== undefined) pool.release(ended, PlacementOutcome.Succeeded);
    }
    if (!pool.canPlaceTask("service")) continue;
    const choice = pool.choose(PLACEMENT_REQUEST);
    if (choice === undefined) continue;
    pool.recordPlacement(choice.runner.process);
    inFlight.push(choice.runner.process);
  }
}
