/**
 * Meanings of the counters and gauges. The tables in `docs/METRICS.md` are generated from them.
 */
import { Counter, Gauge } from "@eelgrassfront/model";

/** Meaning of each counter. */
export const COUNTER_MEANINGS: Readonly<Record<Counter, string>> = {
  [Counter.JobsAccepted]: "Jobs that an owner accepted.",
  [Counter.JobsAttached]:
    "Resubmissions that were attached to a job accepted before.",
  [Counter.JobsCompleted]: "Jobs that completed.",
  [Counter.JobsFailed]: "Jobs that failed, by reason.",
  [Counter.JobsNotRun]: "Jobs that were not run, by reason.",
  [Counter.JobsUnknown]: "Answers that the outcome is unknown, by reason.",
  [Counter.RequestsRejected]:
    "Requests of callers that were rejected, by reason.",
  [Counter.TasksStarted]: "Tasks started on the backend server.",
  [Counter.TasksRefused]: "Placements that a runner refused, by reason.",
  [Counter.TasksRetried]: "Tasks rescheduled, by reason.",
  [Counter.MessagesSent]:
    "Requests and replies sent to other processes, heartbeats included, by kind of message.",
  [Counter.RequestsLost]:
    "Relays of callers' requests that an entry schedules because the request to the owner was lost, its receiver does not own the shard, or the owner changed, by reason.",
  [Counter.JobsRefused]: "Best-effort jobs that were refused, by reason.",
  [Counter.JobsGivenUp]:
    "Best-effort jobs given up after some of their tasks may have run, by reason.",
  [Counter.JobsAbandoned]:
    "Best-effort jobs whose client disconnected before the answer.",
  [Counter.TasksSettled]:
    "Attempts that ended at a sidecar, by outcome or reason.",
  [Counter.TasksInterrupted]:
    "Attempts of an entry that ended without completion and whose task is rescheduled, by reason.",
  [Counter.RunsRefused]: "Calls that a worker refused, by reason.",
  [Counter.RunsDoubtful]:
    "Task starts that were sent to a worker and not answered.",
  [Counter.JobsContested]:
    "Jobs that an entry claimed while another one held them, counted by their arbiter.",
  [Counter.ClaimsUnanswered]:
    "Claims of jobs that no arbiter decided on, by reason.",
  [Counter.ClientsRejected]:
    "Clients of an HTTP server that were refused with 503 or disconnected because of its limits, by reason.",
  [Counter.SessionsEnded]:
    "Sessions of entries that a sidecar ended, by reason.",
  [Counter.WorkerCallsMissing]:
    "Calls that a worker did not answer or that were not sent to it, by kind of call.",
  [Counter.WorkerCrashes]: "Workers that ended without notice.",
  [Counter.TasksSuspected]:
    "Tasks that a worker had started shortly before it crashed.",
};

/** Meaning of each gauge. */
export const GAUGE_MEANINGS: Readonly<Record<Gauge, string>> = {
  [Gauge.QueuedTasks]: "Tasks that wait at the runner for a slot.",
  [Gauge.RunningTasks]: "Tasks that run on the backend server.",
  [Gauge.OwnedShards]: "Shards that this process owns.",
  [Gauge.ConfigurationOffset]: "Version of the configuration in force.",
  [Gauge.LogOffset]: "Offset at which the log is read next.",
  [Gauge.EvacuatedZones]:
    "Availability zones that the operators have evacuated, as far as this process knows.",
  [Gauge.Members]: "Members of the fleet, as this process sees it.",
  [Gauge.ConfigurationVersion]:
    "Version of the configuration in force at an entry that runs best-effort jobs.",
  [Gauge.QueuedJobs]: "Best-effort jobs with tasks to place.",
  [Gauge.RunningJobs]: "Best-effort jobs whose tasks are all placed.",
  [Gauge.FreeMillicores]:
    "Millicores of the worker that running tasks leave free.",
};
