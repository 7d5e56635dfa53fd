/**
 * Draws the work of a randomised run: jobs, resubmissions through any entry, and cancellations, of which
 * about half come in one wave.
 */
import {
  Idempotence,
  type Milliseconds,
  type Submission,
} from "@eelgrassfront/model";
import { FAILING_PAYLOAD } from "./fake_backend_server.ts";
import { sampleSubmission } from "./sample_work.ts";
import type { SeededRandom } from "./seeded_random.ts";

/** A request of a caller: its time and its entry. */
export interface PlannedRequest {
  readonly at: Milliseconds;
  readonly entry: number;
}

/** A submission with all requests that callers send for it. */
export interface PlannedSubmission {
  readonly submission: Submission;
  readonly requests: readonly PlannedRequest[];
  /** Whether the caller attaches the newest epoch token from earlier answers. */
  readonly isTokenSent: boolean;
  readonly cancellation?: PlannedRequest;
}

/** The period of a run in which work arrives, and the number of entries. */
export interface WorkloadBounds {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  readonly entries: number;
}

const MINIMUM_JOBS = 8;
const ADDITIONAL_JOBS = 20;
const MAXIMUM_TASKS_OF_LARGE_JOB = 40;
const MAXIMUM_TASKS_OF_SMALL_JOB = 4;
const LARGE_JOB_PROBABILITY = 0.15;
const MAXIMUM_RUN_MILLISECONDS: Milliseconds = 300;
const LONG_RUN_PROBABILITY = 0.1;
const LONG_RUN_FACTOR = 6;
const FAILING_PROBABILITY = 0.02;
const NON_IDEMPOTENT_PROBABILITY = 0.3;
const TOKEN_PROBABILITY = 0.5;
const MAXIMUM_RESUBMISSIONS = 3;
const EARLY_RESUBMISSION_MILLISECONDS: Milliseconds = 100;
const LATE_RESUBMISSION_MILLISECONDS: Milliseconds = 3_000;
const MINIMUM_DEADLINE_MILLISECONDS: Milliseconds = 100;
const MAXIMUM_DEADLINE_MILLISECONDS: Milliseconds = 3_000;
const CANCELLATION_PROBABILITY = 0.4;
const CANCELLATION_WAVE_PROBABILITY = 0.5;
const MAXIMUM_CANCELLATION_DELAY_MILLISECONDS: Milliseconds = 1_000;
const CANCELLATION_WAVE_MILLISECONDS: Milliseconds = 50;
const TEAMS = ["assessors", "dossiers", "secretaries"];
const KINDS_OF_WORK = ["check", "batch"];

/** Draws the submissions of a run. */
export function drawWorkload(
  random: SeededRandom,
  bounds: WorkloadBounds,
): readonly PlannedSubmission[] {
  const jobs = MINIMUM_JOBS + random.below(ADDITIONAL_JOBS);
  const waveAt = random.between(bounds.from, bounds.until);
  return Array.from(
    { length: jobs },
    (_, job) => drawSubmission(random, bounds, { job, waveAt }),
  );
}

function drawSubmission(
  random: SeededRandom,
  bounds: WorkloadBounds,
  position: { readonly job: number; readonly waveAt: Milliseconds },
): PlannedSubmission {
  const requests = drawRequests(random, bounds);
  const planned = {
    submission: drawJob(random, position.job),
    requests,
    isTokenSent: random.happens(TOKEN_PROBABILITY),
  };
  if (!random.happens(CANCELLATION_PROBABILITY)) return planned;
  const firstAt = requests[0]?.at ?? bounds.from;
  const cancellation = {
    at: random.happens(CANCELLATION_WAVE_PROBABILITY)
      ? position.waveAt + random.between(0, CANCELLATION_WAVE_MILLISECONDS)
      : firstAt + random.between(0, MAXIMUM_CANCELLATION_DELAY_MILLISECONDS),
    entry: random.below(bounds.entries),
  };
  return { ...planned, cancellation };
}

function drawJob(random: SeededRandom, job: number): Submission {
  const isLarge = random.happens(LARGE_JOB_PROBABILITY);
  const tasks = 1 +
    random.below(
      isLarge ? MAXIMUM_TASKS_OF_LARGE_JOB : MAXIMUM_TASKS_OF_SMALL_JOB,
    );
  const isLong = random.happens(LONG_RUN_PROBABILITY);
  const longest = MAXIMUM_RUN_MILLISECONDS * (isLong ? LONG_RUN_FACTOR : 1);
  const runMilliseconds = Array.from(
    { length: tasks },
    () => 1 + random.below(longest),
  );
  const submission = sampleSubmission({
    key: `job-${job}`,
    runMilliseconds,
    team: random.pick(TEAMS) ?? "assessors",
    kindOfWork: random.pick(KINDS_OF_WORK) ?? "check",
    idempotence: random.happens(NON_IDEMPOTENT_PROBABILITY)
      ? Idempotence.NonIdempotent
      : Idempotence.Idempotent,
    deadlineMilliseconds: random.between(
      MINIMUM_DEADLINE_MILLISECONDS,
      MAXIMUM_DEADLINE_MILLISECONDS,
    ),
  });
  return {
    ...submission,
    tasks: submission.tasks.map((task) =>
      random.happens(FAILING_PROBABILITY)
        ? { ...task, payload: FAILING_PAYLOAD }
        : task
    ),
  };
}

function drawRequests(
  random: SeededRandom,
  bounds: WorkloadBounds,
): readonly PlannedRequest[] {
  const first = random.between(bounds.from, bounds.until);
  const requests = [{ at: first, entry: random.below(bounds.entries) }];
  const resubmissions = random.below(MAXIMUM_RESUBMISSIONS + 1);
  for (let index = 0; index < resubmissions; index += 1) {
    const latest = random.happens(0.5)
      ? EARLY_RESUBMISSION_MILLISECONDS
      : LATE_RESUBMISSION_MILLISECONDS;
    requests.push({
      at: Math.min(bounds.until, first + random.between(0, latest)),
      entry: random.below(bounds.entries),
    });
  }
  return requests.sort((left, right) => left.at - right.at);
}
