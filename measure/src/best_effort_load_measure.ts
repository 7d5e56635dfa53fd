/**
 * Outcomes of best-effort work under the loads that are modelled on the users' days. The real decision
 * code runs in virtual time.
 */
import {
  addOutcomes,
  computeLoadBound,
  type KindOutcome,
  type NamedLoad,
  playLoad,
  shareInObjective,
  USER_LOADS,
  valuePerCoreSecond,
} from "@eelgrassfront/emulator";

const SEEDS = [1, 2, 3];
const DIGITS = 3;
/** Value for each core-second is shown in thousandths. */
const VALUE_UNIT = 1_000;

/** Figures of one kind of work under one load. Shares are of the jobs that were submitted. */
export interface BestEffortLoadRow {
  readonly load: string;
  readonly kind: string;
  /** Number of jobs that were submitted. */
  readonly asked: number;
  readonly inObjective: string;
  /** Share within the objective under an omniscient scheduler. */
  readonly bound: string;
  readonly late: string;
  readonly refused: string;
  readonly failed: string;
  /** Thousandths of value for each core-second of the load, all kinds together; 0 for loads without values. */
  readonly value: string;
  readonly valueBound: string;
  /** Mean time from submission to refusal. */
  readonly refusedAfterMilliseconds: number;
}

/** Runs every load, prints a table of the figures and returns its rows. */
export function measureBestEffortLoad(): Promise<object> {
  const rows = USER_LOADS.flatMap(summarizeLoad);
  console.table(rows);
  return Promise.resolve({ rows });
}

function summarizeLoad(
  { name, load }: NamedLoad,
): readonly BestEffortLoadRow[] {
  const outcomes = addOutcomes(
    SEEDS.map((seed) => playLoad({ ...load, seed })),
  );
  const bound = addOutcomes(
    SEEDS.map((seed) => computeLoadBound({ ...load, seed })),
  );
  const format = (all: readonly KindOutcome[]) =>
    (VALUE_UNIT * valuePerCoreSecond(load, all) / SEEDS.length).toFixed(DIGITS);
  const values = { value: format(outcomes), valueBound: format(bound) };
  return outcomes.map((outcome, index) => ({
    ...summarizeKind(name, outcome, bound[index]),
    ...values,
  }));
}

function summarizeKind(
  load: string,
  outcome: KindOutcome,
  bound: KindOutcome | undefined,
): Omit<BestEffortLoadRow, "value" | "valueBound"> {
  const { kind, submitted, late, refused, failed } = outcome;
  const formatShare = (count: number) => (count / submitted).toFixed(DIGITS);
  return {
    load,
    kind,
    asked: submitted,
    inObjective: shareInObjective([outcome]).toFixed(DIGITS),
    bound: shareInObjective(bound === undefined ? [] : [bound]).toFixed(DIGITS),
    late: formatShare(late),
    refused: formatShare(refused),
    failed: formatShare(failed),
    refusedAfterMilliseconds: Math.round(
      outcome.refusedWaitMilliseconds / Math.max(1, refused),
    ),
  };
}
