/**
 * Jobs of a randomised run of best-effort work: their configuration, targets and bodies.
 */
import {
  type JobRequest,
  JobRequestKind,
  type Milliseconds,
  type RequestTarget,
  type WorkConfiguration,
} from "@eelgrassfront/model";

const HOST = "checks.example";

/** Configuration with the routes of all planned jobs. */
export const PLANNED_WORK_CONFIGURATION: WorkConfiguration = {
  version: 3,
  routes: ["/fast/", "/slow/"].map((requestPrefix, priority) => ({
    name: requestPrefix,
    host: HOST,
    requestPrefix,
    service: "service",
    healthPath: "/health",
    priority,
    maximumAttempts: 3,
    slackFactor: 1.6,
    latencyAllowanceMilliseconds: 60,
  })),
};

/** A job as its client submits it, and when the client disconnects. */
export interface PlannedJob {
  readonly id: string;
  readonly millicores: number;
  readonly runMilliseconds: Milliseconds;
  readonly tasks: number;
  readonly disconnectsAfter?: Milliseconds | undefined;
  readonly remainingTries: number;
}

/** Returns the target of a job's requests. */
export function targetOf({ id, tasks }: PlannedJob): RequestTarget {
  const prefix = tasks > 3 ? "/slow/" : "/fast/";
  return { host: HOST, path: `${prefix}${id}` };
}

/** Returns the body of a job's requests. */
export function bodyOf(
  { millicores, runMilliseconds, tasks }: PlannedJob,
): JobRequest {
  const step = {
    taskCount: tasks,
    resources: {
      processorMillicores: millicores,
      memoryMegabytes: 64,
      accelerators: 0,
    },
    estimatedMilliseconds: runMilliseconds,
    dependsOn: [],
  };
  return {
    kind: JobRequestKind.Runnable,
    job: { content: String(runMilliseconds), steps: [step] },
  };
}
