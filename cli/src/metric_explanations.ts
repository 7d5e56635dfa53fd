/**
 * Meanings of the counters and gauges. The list in `docs/METRICS.md` is held against them.
 */
import { Counter, Gauge } from "@eelgrassfront/model";

/** What each counter counts. */
export const COUNTER_MEANINGS: Readonly<Record<Counter, string>> = {
  [Counter.JobsAccepted]: "Jobs that an owner took in.",
  [Counter.JobsAttached]:
    "Repetitions that were attached to a job taken in before.",
  [Counter.JobsCompleted]: "Jobs that completed.",
  [Counter.JobsFailed]: "Jobs that failed, by reason.",
  [Counter.JobsNotRun]: "Jobs that were not run, by reason.",
  [Counter.JobsUnknown]: "Answers that the outcome is unknown, by reason.",
  [Counter.RequestsRejected]:
    "Requests of callers that were rejected, by reason.",
  [Counter.TasksStarted]: "Tasks started on the backend server.",
  [Counter.TasksRefused]: "Placements that a runner refused, by reason.",
  [Counter.TasksRetried]: "Tasks placed again, by reason.",
  [Counter.MessagesSent]:
    "Requests sent to other processes on the path of a job.",
  [Counter.RequestsLost]:
    "Requests to other processes that were lost, by reason.",
};

/** What each gauge shows. */
export const GAUGE_MEANINGS: Readonly<Record<Gauge, string>> = {
  [Gauge.QueuedTasks]: "Tasks that wait at the runner for a slot.",
  [Gauge.RunningTasks]: "Tasks that run on the backend server.",
  [Gauge.OwnedShards]: "Shards that this process owns.",
  [Gauge.ConfigurationOffset]: "Version of the configuration in force.",
  [Gauge.LogOffset]: "Offset at which the log is read next.",
  [Gauge.Members]: "Members of the fleet that this process knows.",
};
