/**
 * The demand of an entry that sidecars are told: the task that waits first for free capacity.
 */
import type { Milliseconds, WaitingDemand } from "@eelgrassfront/model";
import type { JobQueue } from "./job_queue.ts";

/** Returns the task that waits first for free capacity; undefined when none does. */
export function firstDemand(
  { jobs }: JobQueue,
  now: Milliseconds,
): WaitingDemand | undefined {
  for (const job of jobs) {
    // Suspects run apart, on workers that are chosen without an offer.
    if (job.isSuspect) return undefined;
    const task = job.firstReadyTask(now);
    if (task === undefined) continue;
    return {
      resources: task.step.resources,
      priority: job.priority,
      hasStarted: job.hasStarted,
      isLate: job.isLate,
      workPerCaller: Math.round(job.workPerCaller),
      slackMilliseconds: Math.round(job.startBy - now),
    };
  }
  return undefined;
}
