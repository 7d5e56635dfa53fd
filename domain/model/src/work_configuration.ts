/**
 * The operators' configuration for best-effort work: which requests belong to which kind of work,
 * and how that work is run.
 */
import type { Milliseconds } from "./identifiers.ts";

/** Rules for one kind of work, and the requests that belong to it. */
export interface WorkRoute {
  readonly name: string;
  readonly host: string;
  /** Path prefix of the requests that belong to the route. The longest matching prefix wins. */
  readonly requestPrefix: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** Path of the workers' health check; absent when the operators configure none. */
  readonly healthPath?: string;
  /** Priority of the kind of work; 0 is the most urgent. */
  readonly priority: number;
  /** Failures of one task at which the job fails. */
  readonly maximumAttempts: number;
  /**
   * The latency objective is this factor times the longest chain of run times, plus the allowance.
   * Entries use the expected run time of one task in place of the chain.
   */
  readonly slackFactor: number;
  readonly latencyAllowanceMilliseconds: Milliseconds;
}

/** A whole version of the configuration. */
export interface WorkConfiguration {
  /** Increases from version to version, in uneven steps. */
  readonly version: number;
  readonly routes: readonly WorkRoute[];
}

/** Returns the route of a request: the one with the longest matching prefix. */
export function findRoute(
  configuration: WorkConfiguration,
  host: string,
  path: string,
): WorkRoute | undefined {
  let found: WorkRoute | undefined;
  for (const route of configuration.routes) {
    if (route.host !== host || !path.startsWith(route.requestPrefix)) continue;
    const isLonger = found === undefined ||
      route.requestPrefix.length > found.requestPrefix.length;
    if (isLonger) found = route;
  }
  return found;
}
