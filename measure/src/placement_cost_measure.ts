/**
 * What choosing a runner costs one owner as the fleet grows, on the decision alone.
 */
import { SeededRandom } from "@eelgrassfront/emulator";
import type { ProcessIdentifier } from "@eelgrassfront/model";
import {
  PlacementOutcome,
  type PlacementRequest,
  RunnerPool,
  SLOT_QUOTA_PLACEMENT,
} from "@eelgrassfront/placement";

/** Cost at one size of the fleet. */
export interface PlacementCost {
  readonly runners: number;
  readonly owners: number;
  readonly microsecondsPerPlacement: number;
}

const SLOTS = 8;
const PLACEMENTS = 20_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
/** Share of its slots that the owner keeps in flight while it is measured. */
const IN_FLIGHT_SHARE = 0.7;

const NEED: PlacementRequest = {
  service: "service",
  requirements: { processorCores: 1, memoryMegabytes: 1, accelerators: 0 },
  isSubmissionUnserved: true,
  submissionTasks: 1,
};

/** Sizes: today, and growing fleets with an owner for about 30 runners. */
const SIZES = [
  { runners: 11, owners: 3 },
  { runners: 100, owners: 3 },
  { runners: 1_000, owners: 30 },
  { runners: 2_400, owners: 80 },
];

/** Measures the cost at several sizes. */
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
  const pool = newPool(runners, owners);
  const flying: ProcessIdentifier[] = [];
  const target = Math.floor(pool.quotaSlots("service") * IN_FLIGHT_SHARE);
  place(pool, { flying, target, times: PLACEMENTS });
  const before = performance.now();
  place(pool, { flying, target, times: PLACEMENTS });
  const milliseconds = performance.now() - before;
  return milliseconds * MICROSECONDS_PER_MILLISECOND / PLACEMENTS;
}

function newPool(runners: number, owners: number): RunnerPool {
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

function place(
  pool: RunnerPool,
  { flying, target, times }: {
    readonly flying: ProcessIdentifier[];
    readonly target: number;
    readonly times: number;
  },
): void {
  for (let count = 0; count < times; count += 1) {
    if (flying.length >= target) {
      const ended = flying.shift();
      if (ended !== undefined) pool.release(ended, PlacementOutcome.Succeeded);
    }
    if (!pool.hasRoom("service")) continue;
    const choice = pool.choose(NEED);
    if (choice === undefined) continue;
    pool.recordPlacement(choice.runner.process);
    flying.push(choice.runner.process);
  }
}
