/**
 * Stops of runs at the worker. A stop call is repeated until the worker accepts it, and again until a list
 * shows that the run has ended. A run without an attempt is stopped as well: it was started by an earlier
 * incarnation of this sidecar, or by a start call that the worker executed late.
 */
import {
  type DispatchOutput,
  EventNumber,
  InterruptionReason,
  jobTaskKey,
  type ListedRun,
  type Milliseconds,
  type OutputCollector,
  type RunReference,
  Severity,
  WorkerCallKind,
} from "@eelgrassfront/model";
import type { PendingCalls } from "./pending_call.ts";
import type { RunNumbers } from "./run_numbers.ts";
import type { RunTable } from "./run_table.ts";
import {
  beginningOf,
  RunBeginning,
  RunPhase,
  runReferenceOf,
  type WorkerRun,
} from "./worker_run.ts";

/** Time between two stop calls for a run whose stop the worker has accepted. */
export const STOP_INTERVAL_MILLISECONDS: Milliseconds = 100;
/** The same until the worker accepts it: many calls within the time after which a client submits again. */
const UNANSWERED_STOP_INTERVAL_MILLISECONDS: Milliseconds = 25;

/** Collaborators of `RunStops`. */
export interface RunStopsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly calls: PendingCalls;
  readonly table: RunTable;
  readonly runNumbers: RunNumbers;
}

/** Stops the runs of one worker. */
export class RunStops {
  readonly #options: RunStopsOptions;
  /** Runs whose stop was sent, of which some may have ended since. */
  readonly #stopping = new Set<WorkerRun>();
  #hasUnknownRuns = false;

  constructor(options: RunStopsOptions) {
    this.#options = options;
  }

  /** Whether the worker has not accepted a stop yet, or its latest list had a run without an attempt. */
  get isStopPending(): boolean {
    if (this.#hasUnknownRuns) return true;
    if (!this.#isAnyStopping()) return false;
    return this.#options.table.all().some(({ state }) =>
      state.phase === RunPhase.Stopping && state.acceptedAt === undefined
    );
  }

  /** Whether a run is being stopped; most of the time none is, and the other runs need not be looked at. */
  #isAnyStopping(): boolean {
    for (const run of this.#stopping) {
      if (this.#options.table.has(run)) return true;
      this.#stopping.delete(run);
    }
    return false;
  }

  /** Stops an attempt whose start was sent to the worker. */
  stop(run: WorkerRun, reason: InterruptionReason): void {
    const { state } = run;
    if (state.phase === RunPhase.Waiting) return;
    if (state.phase === RunPhase.Stopping) return;
    run.state = {
      phase: RunPhase.Stopping,
      run: state.run,
      reason,
      // A run that the worker's list lacks is stopped as lost.
      beginning: reason === InterruptionReason.WorkerLost
        ? RunBeginning.Unproven
        : beginningOf(run),
      since: this.#options.collector.now,
      nextStopAt: this.#options.collector.now,
      isRepeated: false,
    };
    this.#stopping.add(run);
    this.#sendStop(run);
  }

  /** Forgets the runs of an earlier incarnation of the worker. */
  reset(): void {
    this.#hasUnknownRuns = false;
  }

  /** Repeats the stop calls that are due. */
  tick(): void {
    if (!this.#isAnyStopping()) return;
    const { collector, table } = this.#options;
    for (const run of table.all()) {
      const { state } = run;
      const isDue = state.phase === RunPhase.Stopping &&
        collector.now >= state.nextStopAt;
      if (!isDue) continue;
      this.#recordRepetition(run);
      this.#sendStop(run);
    }
  }

  /** When the next stop call is due. */
  nextAlarm(): Milliseconds | undefined {
    let next: Milliseconds | undefined;
    if (!this.#isAnyStopping()) return next;
    for (const { state } of this.#options.table.all()) {
      if (state.phase !== RunPhase.Stopping) continue;
      next = Math.min(next ?? Infinity, state.nextStopAt);
    }
    return next;
  }

  /** Stops the listed runs without an active attempt. Returns whether there were any. */
  stopUnknownRuns(running: readonly ListedRun[]): boolean {
    const { collector, calls, table, runNumbers } = this.#options;
    const unknownRuns = running.filter(({ run: { task, run } }) => {
      const known = table.find(task);
      return known === undefined || known.state.phase === RunPhase.Waiting ||
        known.state.run !== run;
    });
    for (const { run } of unknownRuns) {
      runNumbers.record(collector.now, run);
      collector.record(
        EventNumber.RunUnknown,
        "stopping a run that no attempt belongs to",
        { severity: Severity.Warning, context: contextOf(run) },
      );
      calls.send({ kind: WorkerCallKind.Stop, run }, { run });
    }
    this.#hasUnknownRuns = unknownRuns.length > 0;
    return this.#hasUnknownRuns;
  }

  #sendStop(run: WorkerRun): void {
    const { collector, calls } = this.#options;
    const target = runReferenceOf(run);
    if (target === undefined || run.state.phase !== RunPhase.Stopping) return;
    const interval = run.state.acceptedAt === undefined
      ? UNANSWERED_STOP_INTERVAL_MILLISECONDS
      : STOP_INTERVAL_MILLISECONDS;
    const nextStopAt = collector.now + interval;
    const isRepeated = run.state.isRepeated ||
      run.state.nextStopAt > run.state.since;
    run.state = { ...run.state, nextStopAt, isRepeated };
    calls.send({ kind: WorkerCallKind.Stop, run: target }, { run: target });
  }

  #recordRepetition(run: WorkerRun): void {
    const { collector } = this.#options;
    const target = runReferenceOf(run);
    if (target === undefined || run.state.phase !== RunPhase.Stopping) return;
    const { since, reason, beginning, acceptedAt, isRepeated } = run.state;
    if (isRepeated) return;
    collector.record(
      EventNumber.RunStopRepeated,
      "a run has not ended since its stop was sent; the stop is repeated",
      {
        severity: Severity.Warning,
        context: {
          ...contextOf(target),
          reason,
          beginning,
          isAccepted: acceptedAt !== undefined,
          elapsedMilliseconds: Math.round(collector.now - since),
        },
      },
    );
  }
}

function contextOf({ task, run }: RunReference) {
  return { job: task.job, task: jobTaskKey(task), run };
}
