/**
 * A fleet of large workers, and three kinds of work whose tasks use a tenth of one each.
 */
import type { WorkConfiguration } from "@eelgrassfront/model";
import type { FleetSize } from "./dispatch_vm.ts";
import {
  type LoadKind,
  OBJECTIVE_ALLOWANCE_MILLISECONDS,
  OBJECTIVE_SLACK_FACTOR,
} from "./load_arrivals.ts";

const SECOND = 1_000;
export const FLEET: FleetSize = { entries: 4, workers: 21, zones: 3 };
export const WORKER_MILLICORES = 64_000;
export const MAXIMUM_ATTEMPTS = 3;
export const HOST = "checks.example";

/** The three kinds of work, at a rate that uses this share of the workers. */
export function kindsOfLargeTasks(utilisation: number): readonly LoadKind[] {
  // Each kind uses a third of the capacity.
  const shape: readonly [string, number, number, number][] = [
    ["check", 0, 8, 73],
    ["report", 2, 4, 1_100],
    ["place", 1, 2, 243],
  ];
  const cores = FLEET.workers * WORKER_MILLICORES / SECOND;
  return shape.map(([name, priority, tasks, mean]) => ({
    name,
    priority,
    jobsPerSecond: utilisation * cores / 3 / (tasks * mean / SECOND * 6.6),
    meanTasks: tasks,
    meanRunMilliseconds: mean,
  }));
}

/** The routes of the kinds of work. */
export function largeTaskConfiguration(
  version: number,
  kinds: readonly LoadKind[],
): WorkConfiguration {
  return {
    version,
    routes: kinds.map(({ name, priority }) => ({
      name,
      host: HOST,
      requestPrefix: `/${name}/`,
      service: "service",
      priority,
      maximumAttempts: MAXIMUM_ATTEMPTS,
      slackFactor: OBJECTIVE_SLACK_FACTOR,
      latencyAllowanceMilliseconds: OBJECTIVE_ALLOWANCE_MILLISECONDS,
    })),
  };
}
