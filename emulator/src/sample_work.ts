/**
 * Sample configuration and submissions for runs in virtual time.
 */
import {
  type Configuration,
  Idempotence,
  type Milliseconds,
  type Submission,
} from "@eelgrassfront/model";

/** A configuration with two kinds of work and three teams on one service. */
export const SAMPLE_CONFIGURATION: Configuration = {
  kindsOfWork: ["check", "batch"].map((name) => ({
    name,
    service: "service",
    weight: 1,
    floor: 0.1,
    maximumAttempts: 5,
    defaultDeadlineMilliseconds: 30_000,
    pricePerSecond: 10,
  })),
  teams: ["assessors", "dossiers", "secretaries"].map((name) => ({
    name,
    weight: 1,
    maximumTasksInFlight: 100_000,
  })),
  limits: {
    maximumTasksPerJob: 220,
    retryBudget: 0.1,
    maximumQueuedTasks: 100_000,
  },
};

/** Parameters of a sample submission; omitted ones have a default. */
export interface SampleSubmissionOptions {
  readonly key: string;
  readonly runMilliseconds: readonly Milliseconds[];
  readonly team?: string;
  readonly kindOfWork?: string;
  readonly idempotence?: Idempotence;
  readonly deadlineMilliseconds?: Milliseconds;
}

const DEADLINE_MILLISECONDS: Milliseconds = 30_000;

/** Creates a submission with one task for each given run time. */
export function sampleSubmission(options: SampleSubmissionOptions): Submission {
  return {
    team: options.team ?? "assessors",
    idempotencyKey: options.key,
    digest: `digest of ${options.key}`,
    kindOfWork: options.kindOfWork ?? "check",
    idempotence: options.idempotence ?? Idempotence.Idempotent,
    deadlineMilliseconds: options.deadlineMilliseconds ?? DEADLINE_MILLISECONDS,
    requirements: { processorCores: 0, memoryMegabytes: 0, accelerators: 0 },
    tasks: options.runMilliseconds.map((milliseconds) => ({
      payload: String(milliseconds),
      declaredMilliseconds: milliseconds,
    })),
  };
}
