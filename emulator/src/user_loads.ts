/**
 * Load profiles modelled on the users' days: their three kinds of work at several utilisations, with floods
 * and with slow workers.
 */
import type { LoadKind } from "./load_arrivals.ts";
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

/** All loads. */
export const USER_LOADS: readonly NamedLoad[] = [
  CALM,
  SLOW_WORKERS,
  HANGING_WORKERS,
  DELAYED_CALLS,
  FLOOD,
  OVERLOAD,
];
