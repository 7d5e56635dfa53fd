/**
 * Runs that may crash the worker. For a short time after the start of such a run the worker gets no task of
 * another job, so that a crash in this time shows which job has caused it and ends no other run that has just
 * started. Runs that started earlier continue beside it.
 */
import {
  type DispatchOutput,
  type Milliseconds,
  type OutputCollector,
  type ProcessIdentifier,
  type RunTask,
  SUSPICION_MILLISECONDS,
} from "@eelgrassfront/model";
import type { RunTable } from "./run_table.ts";
import { beginningOf, RunBeginning, type WorkerRun } from "./worker_run.ts";

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

  /** The runs among those of a crashed worker that may have crashed it: they began shortly before. */
  suspectsOf(runs: readonly WorkerRun[]): readonly WorkerRun[] {
    const begun = runs.filter((run) =>
      this.#isRecent(run) && beginningOf(run) === RunBeginning.Evident
    );
    const apart = begun.filter(({ suspectRoute }) =>
      suspectRoute !== undefined
    );
    return apart.length > 0 ? apart : begun;
  }

  /** Whether no run of a crashed worker may explain the crash: none had just begun or ran apart. */
  isUnexplained(runs: readonly WorkerRun[]): boolean {
    return runs.every((run) =>
      beginningOf(run) === RunBeginning.Unproven ||
      (!this.#isRecent(run) && run.suspectRoute === undefined)
    );
  }

  #reserving(): readonly WorkerRun[] {
    return this.#options.table.all().filter((run) =>
      run.suspectRoute !== undefined && this.#isRecent(run)
    );
  }

  #isRecent({ acceptedAt }: WorkerRun): boolean {
    return this.#options.collector.now < acceptedAt + SUSPICION_MILLISECONDS;
  }
}
