/**
 * Computes how well the guarantees held during a failure, from the caller's records and the number of
 * starts that the backend servers counted.
 */
import { JobOutcomeKind } from "@eelgrassfront/model";
import type { JobRecord } from "./resubmitting_caller.ts";

/** Figures of one failure. Times are in milliseconds. */
export interface FailureFigures {
  readonly jobs: number;
  readonly submissions: number;
  readonly completed: number;
  readonly failed: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly noAnswer: number;
  /** Jobs that got the answer `unknown` at least once, even if a later submission got the outcome. */
  readonly toldUnknown: number;
  readonly startsAboveOne: number;
  readonly partialAnswers: number;
  readonly falseNotRun: number;
  /** Number of jobs by outcome and reason; a job with several reasons counts once for each. */
  readonly jobsByReason: Readonly<Record<string, number>>;
  /** Time from the failure until the end of the last 250 ms window that was not normal. */
  readonly untilNormal: number;
  readonly slowest: number;
}

const WINDOW_MILLISECONDS = 250;
const MAXIMUM_DISTURBED_SHARE = 0.1;

/** Observations of one failure. */
export interface FailureObservations {
  readonly records: readonly JobRecord[];
  readonly startsByTask: ReadonlyMap<string, number>;
  /** Time of the failure, on the clock of the records. */
  readonly failedAt: number;
  /** Longest time in which a job counts as answered normally. */
  readonly normalMilliseconds: number;
}

/** Computes the figures of one failure. */
export function computeFailureFigures(
  observations: FailureObservations,
): FailureFigures {
  const { records, startsByTask } = observations;
  const countEndedAs = (kind: string) =>
    records.filter(({ outcomes }) => outcomes[0] === kind).length;
  return {
    jobs: records.length,
    submissions: records.reduce((sum, record) => sum + record.submissions, 0),
    completed: countEndedAs(JobOutcomeKind.Completed),
    failed: countEndedAs(JobOutcomeKind.Failed),
    notRun: countEndedAs(JobOutcomeKind.NotRun),
    unknown: countEndedAs(JobOutcomeKind.Unknown),
    noAnswer: countEndedAs("no-answer"),
    toldUnknown: records.filter((record) => record.unknownAnswers > 0).length,
    startsAboveOne:
      [...startsByTask.values()].filter((starts) => starts > 1).length,
    partialAnswers: records.filter(({ isPartial }) => isPartial).length,
    falseNotRun:
      records.filter((record) => isFalseNotRun(record, startsByTask)).length,
    jobsByReason: countJobsByReason(records),
    untilNormal: millisecondsUntilNormal(observations),
    slowest: Math.round(
      Math.max(...records.map((record) => record.elapsedMilliseconds)),
    ),
  };
}

/** Whether every copy of a job was answered with `not-run` although one of its tasks started. */
function isFalseNotRun(
  { key, tasks, outcomes }: JobRecord,
  startsByTask: ReadonlyMap<string, number>,
): boolean {
  if (!outcomes.every((outcome) => outcome === JobOutcomeKind.NotRun)) {
    return false;
  }
  return Array.from({ length: tasks }, (_, index) => `${key}#${index}`)
    .some((task) => startsByTask.has(task));
}

function countJobsByReason(
  records: readonly JobRecord[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { reasons } of records) {
    for (const reason of new Set(reasons)) {
      counts[reason] = (counts[reason] ?? 0) + 1;
    }
  }
  return counts;
}

/** A window is normal when at least nine in ten of the jobs submitted in it were answered normally. */
function millisecondsUntilNormal(
  { records, failedAt, normalMilliseconds }: FailureObservations,
): number {
  const windows = new Map<number, { jobs: number; disturbed: number }>();
  for (const record of records) {
    const sinceFailure = record.submittedAt - failedAt;
    if (sinceFailure < 0) continue;
    const index = Math.floor(sinceFailure / WINDOW_MILLISECONDS);
    const window = windows.get(index) ?? { jobs: 0, disturbed: 0 };
    window.jobs += 1;
    if (!isNormal(record, normalMilliseconds)) window.disturbed += 1;
    windows.set(index, window);
  }
  const ends = [...windows]
    .filter(([, { jobs, disturbed }]) =>
      disturbed > jobs * MAXIMUM_DISTURBED_SHARE
    )
    .map(([index]) => (index + 1) * WINDOW_MILLISECONDS);
  return Math.max(0, ...ends);
}

function isNormal(
  { elapsedMilliseconds, outcomes }: JobRecord,
  normalMilliseconds: number,
): boolean {
  return elapsedMilliseconds <= normalMilliseconds &&
    outcomes.every((outcome) => outcome === JobOutcomeKind.Completed);
}
