/**
 * Cut-off between entries: less urgent work is not placed at a worker for which more urgent work of another entry
 * waits, except on a share of the capacity, so that it does not starve.
 */

/** Demand of one priority that waits for a worker at other entries. */
export interface WaitingPriority {
  /** Priority of the kind of work; 0 is the most urgent. */
  readonly priority: number;
}

/** What an entry runs at a worker, in millicores. */
export interface EntryUse {
  readonly totalMillicores: number;
  /** Part of the total for work that is no more urgent than the work to be placed. */
  readonly lessUrgentMillicores: number;
  /** Size of the task to be placed, which the other two do not include. */
  readonly requestedMillicores: number;
}

/** Share of an entry's use of a worker that is left to work of any priority. */
const MINIMUM_CAPACITY_SHARE = 1 / 3;

/** Returns whether more urgent work waits for a worker at other entries. */
export function isMoreUrgentWaiting(
  waiting: readonly WaitingPriority[],
  priority: number,
): boolean {
  return waiting.some((other) => other.priority < priority);
}

/**
 * Returns whether a task may be placed although more urgent work waits at other entries. An entry that runs
 * nothing at the worker may always place one task there.
 */
export function isWithinFloor(
  { totalMillicores, lessUrgentMillicores, requestedMillicores }: EntryUse,
): boolean {
  return totalMillicores === 0 ||
    lessUrgentMillicores + requestedMillicores <=
      MINIMUM_CAPACITY_SHARE * (totalMillicores + requestedMillicores);
}
