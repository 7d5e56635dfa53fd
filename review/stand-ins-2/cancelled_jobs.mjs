/**
 * Jobs of one chain of short tasks, and the check of the rule on cancelled jobs.
 */
import { BOUNDS } from "./deployment.mjs";

/** Returns a job whose tasks run one after the other. */
export function chainJob(steps, taskMilliseconds) {
  return {
    bestEffort: true,
    spec: JSON.stringify({ taskMs: taskMilliseconds }),
    phases: Array.from({ length: steps }, (_, step) => ({
      count: 1,
      cpu: 500,
      memMb: 64,
      estimateMs: taskMilliseconds,
      ...(step === 0 ? {} : { dependsOn: [step - 1] }),
    })),
  };
}

/** Collects the starts at all minions of a deployment. */
export function startsOf(deployment) {
  const starts = [];
  deployment.onStart = (at, minion, task) => {
    starts.push({ at, minion, task });
  };
  return starts;
}

/**
 * Returns the breaches of UNASKED: starts of a job's tasks later than `cancel_ms` after its cancelling was
 * acknowledged, or had waited `ackMs` for its acknowledgement.
 */
export function lateStarts(jobs, starts) {
  return jobs.flatMap(({ id, sentAt, acknowledgedAt }) => {
    if (sentAt === undefined) return [];
    const from = Math.min(acknowledgedAt ?? Infinity, sentAt + BOUNDS.ackMs);
    const late = starts.filter(({ at, task }) =>
      task.startsWith(`${id}.`) && at > from + BOUNDS.cancel_ms
    );
    if (late.length === 0) return [];
    const last = Math.round(late.at(-1).at - from);
    const what = from === acknowledgedAt
      ? "its cancelling was acknowledged"
      : `its cancelling had waited ${BOUNDS.ackMs} ms`;
    return [
      `UNASKED ${id}: ${late.length} starts later than ${BOUNDS.cancel_ms} ms after ${what}, ` +
      `the last after ${last} ms`,
    ];
  });
}
