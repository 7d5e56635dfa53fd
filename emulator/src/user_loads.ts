/**
 * Loads that are modelled on the users' days: their three kinds of work, at a share of what the workers can
 * take, with floods and with workers that turn slow.
 */
import type { LoadKind } from "./load_arrivals.ts";
import type { PlayedLoad } from "./load_player.ts";

/** A load with its name in tables. */
export interface NamedLoad {
  readonly name: string;
  readonly load: Omit<PlayedLoad, "seed">;
}

const SECOND = 1_000;
/** Length of a played day. */
export const LOAD_MILLISECONDS = 10 * SECOND;
const SLOW_WORKER_COUNT = 2;
/** How many times longer tasks take on a slow worker of the users' days. */
const SLOW_FACTOR = 5;
const FLOOD_FACTOR = 2.5;

/** The users' kinds of work, at the given share of what the workers can take. */
export function kindsAtUtilisation(utilisation: number): readonly LoadKind[] {
  // At these rates the workers' 396 cores would be exactly used up.
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

/** A calm day. */
export const CALM: NamedLoad = {
  name: "calm, 0.5",
  load: {
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(0.5),
  },
};

/** Two workers turn slow for six seconds. */
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

/** Tasks on two workers stand still for six seconds. */
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

/** The least urgent kind of work floods in. */
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

/** More work of every kind than the workers can take. */
export const OVERLOAD: NamedLoad = {
  name: "1.3",
  load: {
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(1.3),
  },
};

/** Every load. */
export const USER_LOADS: readonly NamedLoad[] = [
  CALM,
  SLOW_WORKERS,
  HANGING_WORKERS,
  FLOOD,
  OVERLOAD,
];
