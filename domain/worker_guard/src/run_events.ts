/**
 * Events and durations of the runs at a worker.
 */
import {
  type DispatchOutput,
  DispatchOutputKind,
  EventNumber,
  Histogram,
  jobTaskKey,
  type OutputCollector,
  type ProcessError,
  Severity,
  type TaskSettlement,
} from "@eelgrassfront/model";
import { reasonOf } from "./run_table.ts";
import type { WorkerRun } from "./worker_run.ts";

/** Records the run time of an attempt with an outcome, and the reason of one that ended without. */
export function recordSettlement(
  collector: OutputCollector<DispatchOutput>,
  { task, entry, attempt }: WorkerRun,
  settlement: TaskSettlement,
): void {
  if ("runMilliseconds" in settlement) {
    collector.add({
      kind: DispatchOutputKind.ObserveDuration,
      histogram: Histogram.RunDuration,
      label: settlement.kind,
      milliseconds: settlement.runMilliseconds,
    });
    return;
  }
  collector.record(EventNumber.RunSettled, "an attempt ended", {
    context: {
      job: task.job,
      task: jobTaskKey(task),
      entry,
      attempt,
      reason: reasonOf(settlement),
    },
  });
}

/** Records a run whose start call was not answered, so that it may have begun. */
export function recordDoubtfulRun(
  collector: OutputCollector<DispatchOutput>,
  { task }: WorkerRun,
): void {
  collector.record(
    EventNumber.RunDoubtful,
    "the worker did not answer a start call; its list of runs shows whether the task started",
    {
      severity: Severity.Warning,
      context: { job: task.job, task: jobTaskKey(task) },
    },
  );
}

/** Records a run whose start call was not sent, so that it has not begun. */
export function recordUnsentRun(
  collector: OutputCollector<DispatchOutput>,
  { task }: WorkerRun,
  { tag, detail }: ProcessError,
): void {
  collector.record(
    EventNumber.RunNotSent,
    "a start call was not sent to the worker; the task has not started",
    {
      severity: Severity.Warning,
      context: { job: task.job, task: jobTaskKey(task), tag, detail },
    },
  );
}
