/**
 * What the records of a caller and the counts of the backend servers say about the promises.
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
  /** Jobs that were told `unknown` at least once, also when a later submission learnt the answer. */
  readonly toldUnknown: number;
  readonly startsAboveOne: number;
  readonly partialAnswers: number;
  readonly falseNotRun: number;
  /** Jobs by outcome and reason; a job that was told several counts in each. */
  readonly jobsByReason: Readonly<Record<string, number>>;
  /** From the failure until the end of the last quarter of a second that was not normal. */
  readonly untilNormal: number;
  readonly slowest: number;
}

const WINDOW_MILLISECONDS = 250;
const DISTURBED_SHARE = 0.1;

/** What figures are worked out from. */
export interface FailureEvidence {
  readonly records: readonly JobRecord[];
  readonly startsByTask: ReadonlyMap<string, number>;
  readonly failedAt: number;
  /** A job that takes longer is not answered normally. */
  readonly normalMilliseconds: number;
}

/** Works out the figures. */
export function figuresOf(evidence: FailureEvidence): FailureFigures {
  const { records, startsByTask } = evidence;
  const endedAs = (kind: string) =>
    records.filter(({ outcomes }) => outcomes[0] === kind).length;
  return {
    jobs: records.length,
    submissions: records.reduce((sum, record) => sum + record.submissions, 0),
    completed: endedAs(JobOutcomeKind.Completed),
    failed: endedAs(JobOutcomeKind.Failed),
    notRun: endedAs(JobOutcomeKind.NotRun),
    unknown: endedAs(JobOutcomeKind.Unknown),
    noAnswer: endedAs("no-answer"),
    toldUnknown: records.filter((record) => record.unknownAnswers > 0).length,
    startsAboveOne:
      [...startsByTask.values()].filter((starts) => starts > 1).length,
    partialAnswers: records.filter(({ isPartial }) => isPartial).length,
    falseNotRun:
      records.filter((record) => isFalseNotRun(record, startsByTask)).length,
    jobsByReason: jobsByReason(records),
    untilNormal: untilNormal(evidence),
    slowest: Math.round(
      Math.max(...records.map((record) => record.elapsedMilliseconds)),
    ),
  };
}

/** Whether every copy of a job was refused as not run though one of its tasks started. */
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

function jobsByReason(
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

/** A window is normal when nine in ten of the jobs submitted in it were answered normally. */
function untilNormal(
  { records, failedAt, normalMilliseconds }: FailureEvidence,
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
    .filter(([, { jobs, disturbed }]) => disturbed > jobs * DISTURBED_SHARE)
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
