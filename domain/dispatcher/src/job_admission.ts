/**
 * Admission control of an entry under overload. A job that cannot start early enough to meet its latency
 * objective is refused at once with a retry time, instead of waiting until that time has passed. A job is
 * never refused while a worker has free capacity for it.
 */
import type { Milliseconds, WorkRoute } from "@eelgrassfront/model";
import type { DispatchJob } from "./dispatch_job.ts";

/** Waiting work and the capacity that serves it. */
export interface Backlog {
  /** Work up to and including the job's own, in millicores times milliseconds. */
  readonly workAhead: number;
  /** Capacity that this entry can expect, in millicores. */
  readonly servedMillicores: number;
}

/**
 * Safety factor on the expected wait, which must fit into a job's slack: capacity becomes free unevenly, and
 * a job that starts late takes capacity from jobs that could still meet their objective.
 */
const WAIT_MARGIN = 1.5;
/** Shortest retry time for a client: the resolution of the Retry-After header. */
const MINIMUM_RETRY_MILLISECONDS: Milliseconds = 1_000;
/** Longest retry time for a client: a burst has passed by then. */
const MAXIMUM_RETRY_MILLISECONDS: Milliseconds = 5_000;

/** Returns the latency objective of a job: the longest time from its arrival to its end. */
export function latencyObjective(
  route: WorkRoute,
  expectedRunMilliseconds: Milliseconds,
): Milliseconds {
  return route.slackFactor * expectedRunMilliseconds +
    route.latencyAllowanceMilliseconds;
}

/** Returns the expected time until there is capacity for a job's tasks. */
export function expectedWait(
  { workAhead, servedMillicores }: Backlog,
): Milliseconds {
  return workAhead === 0 ? 0 : workAhead / Math.max(1, servedMillicores);
}

/** Returns whether a job that must wait can still start in time. */
export function canStartInTime(
  job: DispatchJob,
  now: Milliseconds,
  backlog: Backlog,
): boolean {
  return now + WAIT_MARGIN * expectedWait(backlog) <= job.startBy;
}

/** Returns the time after which a client should retry: the time that the backlog takes, within bounds. */
export function retryAfter(backlog: Backlog): Milliseconds {
  const wait = expectedWait(backlog);
  return Math.min(
    MAXIMUM_RETRY_MILLISECONDS,
    Math.max(MINIMUM_RETRY_MILLISECONDS, wait),
  );
}
