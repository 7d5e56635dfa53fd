/**
 * Load profiles modelled on the users' days: their three kinds of work at several utilisations, with floods
 * and with slow workers; and the loads of the two deployments of docs/design/hard-load.md at a third of their size.
 */
import {
  type FleetSize,
  type WorkerKind,
  workerKindAt,
} from "./dispatch_vm.ts";
import type { LoadBurst, LoadKind, LoadWave } from "./load_arrivals.ts";
import type { PlayedLoad } from "./load_player.ts";

/** A load with the name that result tables show. */
export interface NamedLoad {
  readonly name: string;
  readonly load: Omit<PlayedLoad, "seed">;
}

const SECOND = 1_000;
/** Duration of each load, in milliseconds. */
export const LOAD_MILLISECONDS = 10 * SECOND;
const SLOW_WORKER_COUNT = 2;
/** Factor on the run times of a slow worker, as on the users' days. */
const SLOW_FACTOR = 5;
const FLOOD_FACTOR = 2.5;

/** Returns the users' kinds of work with rates that give the workers this utilisation. */
export function kindsAtUtilisation(utilisation: number): readonly LoadKind[] {
  // These rates (jobs per second) use exactly the workers' 396 cores.
  const rates: readonly [string, number, number, number, number][] = [
    ["scan", 0, 39, 8, 86],
    ["calculation", 2, 7.1, 4, 1_286],
    ["label", 1, 113, 2, 286],
  ];
  return rates.map(([name, priority, perSecond, meanTasks, mean]) => ({
    name,
    priority,
    jobsPerSecond: perSecond * utilisation,
    meanTasks,
    meanRunMilliseconds: mean,
  }));
}

/** A day at a utilisation of 0.5 without disturbances. */
export const CALM: NamedLoad = {
  name: "calm, 0.5",
  load: {
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(0.5),
  },
};

/** Two workers are slow for six seconds. */
export const SLOW_WORKERS: NamedLoad = {
  name: "0.7, two workers 5 times slower",
  load: {
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(0.7),
    slowWorkers: [{
      count: SLOW_WORKER_COUNT,
      from: 2 * SECOND,
      until: 8 * SECOND,
      factor: SLOW_FACTOR,
    }],
  },
};

/** Workers leave some calls unanswered and execute them seconds later. */
export const DELAYED_CALLS: NamedLoad = {
  name: "0.5, 5% of the calls executed late",
  load: {
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(0.5),
    delayedCalls: 0.05,
  },
};

/** For six seconds, tasks that start on two workers never end. */
export const HANGING_WORKERS: NamedLoad = {
  name: "0.8, two workers hang",
  load: {
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(0.8),
    slowWorkers: [{
      count: SLOW_WORKER_COUNT,
      from: 2 * SECOND,
      until: 8 * SECOND,
      factor: Infinity,
    }],
  },
};

/** A flood of the kind of work with the lowest priority. */
export const FLOOD: NamedLoad = {
  name: "0.9, calculations 2.5 times",
  load: {
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(0.9),
    bursts: [{
      kind: "calculation",
      from: 2 * SECOND,
      until: 8 * SECOND,
      factor: FLOOD_FACTOR,
    }],
  },
};

/** More work of every kind than the workers have capacity for. */
export const OVERLOAD: NamedLoad = {
  name: "1.3",
  load: {
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(1.3),
  },
};

/** All loads of the three small deployments. */
const SMALL_LOADS: readonly NamedLoad[] = [
  CALM,
  SLOW_WORKERS,
  HANGING_WORKERS,
  DELAYED_CALLS,
  FLOOD,
  OVERLOAD,
];

const JOB_VALUES = [
  { inTime: 0.00485, late: 0.00097 },
  { inTime: 0.00167, late: 0.000333 },
  { inTime: 0.0267, late: 0.00533 },
] as const;

/** What the loads of one deployment have in common. */
interface Deployment {
  readonly name: string;
  readonly fleet: FleetSize;
  readonly workerKinds: readonly WorkerKind[];
  readonly taskMillicores: { readonly mean: number; readonly spread: number };
  readonly entryWeights: readonly number[];
  /** Name, jobs per second of the whole deployment, mean tasks and run time, by priority. */
  readonly kinds: readonly (readonly [string, number, number, number])[];
  readonly tail?: { readonly share: number; readonly factor: number };
  readonly wave?: LoadWave;
}

/** A third of the booking service's fleet, with the same proportions. Entries get jobs by their cores. */
const BOOKING: Deployment = {
  name: "booking",
  fleet: { entries: 4, workers: 24, zones: 3 },
  workerKinds: [
    { label: "medium", capacityMillicores: 16_000, runFactor: 1 },
    { label: "medium", capacityMillicores: 16_000, runFactor: 1 },
    { label: "large", capacityMillicores: 24_000, runFactor: 1.3 },
  ],
  taskMillicores: { mean: 1_600, spread: 0.4375 },
  entryWeights: [0.675, 0.324, 0.675, 0.324],
  kinds: [
    ["slot-probe", 144, 8, 86],
    ["slot-release", 420, 2, 286],
    ["slot-reserve", 26.2, 4, 1_286],
  ],
};

/** A third of the pairing service's fleet, with the same proportions. */
const PAIRING: Deployment = {
  name: "pairing",
  fleet: { entries: 4, workers: 22, zones: 3 },
  workerKinds: [
    { label: "medium", capacityMillicores: 64_000, runFactor: 0.7 },
    { label: "medium", capacityMillicores: 64_000, runFactor: 0.7 },
    { label: "large", capacityMillicores: 96_000, runFactor: 1.7 },
  ],
  taskMillicores: { mean: 6_600, spread: 0 },
  entryWeights: [0.243, 0.612, 0.981, 1.35],
  kinds: [
    ["pairing", 127, 8, 73],
    ["result", 369, 2, 243],
    ["standings", 23.1, 4, 1_086],
  ],
  tail: { share: 0.03, factor: 7 },
  wave: { amplitude: 0.55, periodMilliseconds: 17 * SECOND, zones: 3 },
};

/** Returns a deployment's load at a utilisation of its workers. */
function deploymentLoad(
  { name, kinds, ...deployment }: Deployment,
  utilisation: number,
  bursts: readonly LoadBurst[] = [],
): NamedLoad {
  const { fleet, workerKinds, taskMillicores, tail } = deployment;
  const tailFactor = tail === undefined
    ? 1
    : 1 + tail.share * (tail.factor - 1);
  const demand = kinds.reduce(
    (sum, [, perSecond, tasks, mean]) =>
      sum + perSecond * tasks * taskMillicores.mean * tailFactor * mean /
        SECOND,
    0,
  );
  const capacity = Array.from(
    { length: fleet.workers },
    (_, index) => workerKindAt(workerKinds, index),
  ).reduce(
    (sum, kind) =>
      kind === undefined ? sum : sum + kind.capacityMillicores / kind.runFactor,
    0,
  );
  const scale = utilisation * capacity / demand;
  return {
    name: `${name}, ${utilisation}${bursts.length === 0 ? "" : ", bursts"}`,
    load: {
      ...deployment,
      durationMilliseconds: LOAD_MILLISECONDS,
      bursts,
      kinds: kinds.map(([kind, perSecond, meanTasks, mean], priority) => ({
        name: kind,
        priority,
        jobsPerSecond: perSecond * scale,
        meanTasks,
        meanRunMilliseconds: mean,
        value: JOB_VALUES[priority] ?? { inTime: 0, late: 0 },
      })),
    },
  };
}

/** The booking service at half of its capacity. */
export const BOOKING_CALM = deploymentLoad(BOOKING, 0.5);
/** The booking service on a busy day: five seconds of more reservations, then four of more probes. */
export const BOOKING_BURSTS = deploymentLoad(BOOKING, 0.67, [
  {
    kind: "slot-reserve",
    from: 0.5 * SECOND,
    until: 5.5 * SECOND,
    factor: 2.05,
  },
  { kind: "slot-probe", from: 5.5 * SECOND, until: 9.5 * SECOND, factor: 1.7 },
]);
/** The booking service at 1.3 times its capacity. */
export const BOOKING_OVERLOAD = deploymentLoad(BOOKING, 1.3);
/** The pairing service at half of its capacity. */
export const PAIRING_CALM = deploymentLoad(PAIRING, 0.5);
/** The pairing service at 1.3 times its capacity. */
export const PAIRING_OVERLOAD = deploymentLoad(PAIRING, 1.3);

/** All loads. */
export const USER_LOADS: readonly NamedLoad[] = [
  ...SMALL_LOADS,
  BOOKING_CALM,
  BOOKING_BURSTS,
  BOOKING_OVERLOAD,
  PAIRING_CALM,
  PAIRING_OVERLOAD,
];
