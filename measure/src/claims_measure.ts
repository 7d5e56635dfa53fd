/**
 * Compares the schemes for claiming a submission: three models and the real decision code under the same
 * load and the same failures in virtual time, and the calculated cost of each at the size that is expected
 * in two years.
 */
import { assertNever } from "@eelgrassfront/model";
import { ClaimEmulation } from "./claim_emulation.ts";
import { ClaimModel } from "./claim_model.ts";
import {
  APPEND_MILLISECONDS,
  ClaimFailure,
  ClaimOutcome,
  type ClaimRun,
  type ClaimRunOptions,
  ClaimScheme,
  DELAY_MILLISECONDS,
  RUN_MILLISECONDS,
} from "./claim_scheme.ts";
import { LatencyRecorder } from "./latency_summary.ts";

const SEED = 1;
/** Network delays on the path: entry to coordinator, coordinator to runner, and back. */
const PATH_DELAYS = 4;
const MILLISECONDS_PER_SECOND = 1_000;

const LATE_MILLISECONDS = 1_000;

const STARTS_PER_SECOND = 170_000;
const TASKS_PER_JOB: readonly number[] = [1, 20, 220];
const CLAIM_BYTES = 80;
const TICKETS_PER_APPEND = 1_000;
/** Processes that fail, restart or are replaced on an ordinary day; each joins and is removed. */
const CHANGES_PER_DAY = 900;
const SECONDS_PER_DAY = 86_400;
const RECORDS_PER_CHANGE = 3;

/** Figures of one scheme. Times are in milliseconds, shares from 0 to 1. */
interface SchemeFigures {
  readonly isModel: boolean;
  readonly addedP50: number;
  readonly addedP99: number;
  readonly messagesPerSubmission: number;
  readonly appendsPerSubmission: number;
  readonly unknownShare: Readonly<Record<string, number>>;
  readonly refusedShare: Readonly<Record<string, number>>;
  /** Share of submissions that completed more than a second later than the ideal. */
  readonly lateShare: Readonly<Record<string, number>>;
  readonly atTwoYearSize: readonly SizeFigures[];
}

/** Cost at the size expected in two years, for jobs with this number of tasks. */
interface SizeFigures {
  readonly tasksPerJob: number;
  readonly submissionsPerSecond: number;
  readonly addedMessagesPerSecond: number;
  readonly appendsPerSecond: number;
  /** Bytes of the log that each process has to read. */
  readonly logBytesPerSecond: number;
}

/** Runs the measure and returns its figures. */
export function measureClaims(): Promise<object> {
  const figures: Record<string, SchemeFigures> = {};
  for (const scheme of Object.values(ClaimScheme)) {
    figures[scheme] = measureScheme(scheme);
    process.stdout.write(`${scheme} ${JSON.stringify(figures[scheme])}\n`);
  }
  return Promise.resolve({ measure: "claims", seed: SEED, ...figures });
}

function measureScheme(scheme: ClaimScheme): SchemeFigures {
  const failureFree = run(scheme, { seed: SEED, failure: ClaimFailure.None });
  const latency = new LatencyRecorder();
  for (const milliseconds of failureFree.responses) latency.add(milliseconds);
  const { p50, p99 } = latency.summary();
  const ideal = RUN_MILLISECONDS + PATH_DELAYS * DELAY_MILLISECONDS;
  const unknownShare: Record<string, number> = {};
  const refusedShare: Record<string, number> = {};
  const lateShare: Record<string, number> = {};
  for (const failure of Object.values(ClaimFailure)) {
    const { outcomes, responses } = run(scheme, { seed: SEED, failure });
    const late = responses.filter((response) =>
      response > ideal + LATE_MILLISECONDS
    );
    lateShare[failure] = round(late.length / outcomes.length);
    unknownShare[failure] = computeShare(outcomes, ClaimOutcome.Unknown);
    refusedShare[failure] = computeShare(outcomes, ClaimOutcome.Refused);
  }
  return {
    isModel: scheme !== ClaimScheme.OwnershipWithStartRecords,
    addedP50: round(p50 - ideal),
    addedP99: round(p99 - ideal),
    messagesPerSubmission: round(
      failureFree.messages / failureFree.outcomes.length,
    ),
    appendsPerSubmission: round(
      failureFree.appends / failureFree.outcomes.length,
    ),
    unknownShare,
    refusedShare,
    lateShare,
    atTwoYearSize: TASKS_PER_JOB.map((tasks) =>
      computeSizeFigures(scheme, tasks)
    ),
  };
}

function run(scheme: ClaimScheme, options: ClaimRunOptions): ClaimRun {
  switch (scheme) {
    case ClaimScheme.ClaimAppend:
    case ClaimScheme.MintedTickets:
    case ClaimScheme.WitnessCopy:
      return new ClaimModel(scheme, options).run();
    case ClaimScheme.OwnershipWithStartRecords:
      return new ClaimEmulation(options).run();
    default:
      return assertNever(scheme);
  }
}

function computeSizeFigures(
  scheme: ClaimScheme,
  tasksPerJob: number,
): SizeFigures {
  const submissions = STARTS_PER_SECOND / tasksPerJob;
  const size = { tasksPerJob, submissionsPerSecond: round(submissions) };
  const noCost = {
    addedMessagesPerSecond: 0,
    appendsPerSecond: 0,
    logBytesPerSecond: 0,
  };
  switch (scheme) {
    case ClaimScheme.ClaimAppend:
      return {
        ...size,
        ...noCost,
        // Synced appends follow one another; each carries the claims that arrived during the previous one.
        appendsPerSecond: MILLISECONDS_PER_SECOND / APPEND_MILLISECONDS,
        logBytesPerSecond: round(submissions * CLAIM_BYTES),
      };
    case ClaimScheme.MintedTickets: {
      const appendsPerSecond = submissions / TICKETS_PER_APPEND;
      return {
        ...size,
        ...noCost,
        appendsPerSecond: round(appendsPerSecond),
        logBytesPerSecond: round(appendsPerSecond * CLAIM_BYTES),
      };
    }
    case ClaimScheme.WitnessCopy:
      return {
        ...size,
        ...noCost,
        addedMessagesPerSecond: round(2 * submissions),
      };
    case ClaimScheme.OwnershipWithStartRecords: {
      const appendsPerSecond = CHANGES_PER_DAY * RECORDS_PER_CHANGE /
        SECONDS_PER_DAY;
      return {
        ...size,
        ...noCost,
        appendsPerSecond: round(appendsPerSecond),
        logBytesPerSecond: round(appendsPerSecond * CLAIM_BYTES),
      };
    }
    default:
      return assertNever(scheme);
  }
}

function computeShare(
  outcomes: readonly ClaimOutcome[],
  outcome: ClaimOutcome,
): number {
  const count = outcomes.filter((other) => other === outcome).length;
  return round(count / outcomes.length);
}

function round(value: number): number {
  return Number(value.toFixed(4));
}
