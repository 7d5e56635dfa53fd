/**
 * Runs that may crash the worker. For a short time after the start of such a run the worker gets no task of
 * another job, so that a crash in this time shows which job has caused it and ends no other run that has just
 * started. Runs that started earlier continue beside it.
 */
import {
  assertNever,
  type DispatchOutput,
  type Milliseconds,
  type OutputCollector,
  type ProcessIdentifier,
  type RunTask,
  SUSPICION_MILLISECONDS,
} from "@eelgrassfront/model";
import type { RunTable } from "./run_table.ts";
import { beginningOf, RunBeginning, type WorkerRun } from "./worker_run.ts";

const NO_RUNS: readonly WorkerRun[] = [];

/** Time after its start in which a run may explain a crash. */
const EXPLANATION_MILLISECONDS: Milliseconds = 2 * SUSPICION_MILLISECONDS;

/** Collaborators of a `SuspectRuns`. */
export interface SuspectRunsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly table: RunTable;
}

/** Reserves the worker for one suspect job at a time, and names the suspects of a crash. */
export class SuspectRuns {
  readonly #options: SuspectRunsOptions;
  /** Whether the latest load showed the worker as reserved. */
  #wasReserved = false;

  constructor(options: SuspectRunsOptions) {
    this.#options = options;
  }

  /** Whether a task must not start now: a suspect not beside other jobs' recent runs, and vice versa. */
  isRefused({ task, suspectRoute }: RunTask): boolean {
    const runs = suspectRoute === undefined
      ? this.#reserving()
      : this.#options.table.all().filter((run) => this.#isRecent(run));
    return runs.some((run) => run.task.job !== task.job);
  }

  /** Whether the worker is reserved for a job of another entry than the given one. */
  isReservedAgainstEntry(entry: ProcessIdentifier): boolean {
    return this.#reserving().some((run) => run.entry !== entry);
  }

  /** Whether the worker is reserved for a job. */
  get isReserved(): boolean {
    return this.#reserving().length > 0;
  }

  /** Makes the start or end of a reservation part of a new load. */
  tick(): void {
    const { isReserved } = this;
    if (isReserved === this.#wasReserved) return;
    this.#wasReserved = isReserved;
    this.#options.table.raiseRevision();
  }

  /** When the reservation ends. */
  nextAlarm(): Milliseconds | undefined {
    const times = this.#reserving().map(({ acceptedAt }) =>
      acceptedAt + SUSPICION_MILLISECONDS
    );
    return times.length === 0 ? undefined : Math.max(...times);
  }

  /** The runs among those of a crashed worker that may have crashed it: where none has just begun, all that run. */
  suspectsOf(runs: readonly WorkerRun[]): readonly WorkerRun[] {
    const begun = runs.filter(hasLikelyBegun);
    const recent = begun.filter((run) => this.#isRecent(run));
    const candidates = recent.length > 0 ? recent : begun;
    const apart = candidates.filter(({ suspectRoute }) =>
      suspectRoute !== undefined
    );
    return apart.length > 0 ? apart : candidates;
  }

  /**
   * Whether no run of a crashed worker may explain the crash: none ran apart or has begun lately. The time is longer
   * than that of a suspicion, so that work that crashes its worker later than usual explains it, too.
   */
  isUnexplained(runs: readonly WorkerRun[]): boolean {
    const from = this.#options.collector.now - EXPLANATION_MILLISECONDS;
    return runs.every((run) =>
      beginningOf(run) === RunBeginning.Unproven ||
      (run.acceptedAt <= from && run.suspectRoute === undefined)
    );
  }

  #reserving(): readonly WorkerRun[] {
    if (!this.#options.table.hasSuspects) return NO_RUNS;
    return this.#options.table.all().filter((run) =>
      run.suspectRoute !== undefined && this.#isRecent(run)
    );
  }

  #isRecent({ acceptedAt }: WorkerRun): boolean {
    return this.#options.collector.now < acceptedAt + SUSPICION_MILLISECONDS;
  }
}

function hasLikelyBegun(run: WorkerRun): boolean {
  const beginning = beginningOf(run);
  switch (beginning) {
    case RunBeginning.Likely:
    case RunBeginning.Confirmed:
      return true;
    case RunBeginning.Unproven:
    case RunBeginning.Possible:
      return false;
    default:
      return assertNever(beginning);
  }
}
