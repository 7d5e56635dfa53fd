/**
 * Settlement of the runs that ended with their worker. A worker that ends without notice has crashed, perhaps
 * because of a task that it had just started, so the log shows which tasks ran there and for how long.
 */
import {
  Counter,
  type DispatchOutput,
  EventNumber,
  InterruptionReason,
  jobTaskKey,
  type Milliseconds,
  type OutputCollector,
  Severity,
  type WorkerDescription,
  WorkerPhase,
} from "@eelgrassfront/model";
import { interrupted } from "./run_settlement.ts";
import type { RunTable } from "./run_table.ts";
import { RunPhase, type WorkerRun } from "./worker_run.ts";

/** How a worker ended. */
export enum WorkerEnd {
  /** It reported that it leaves. */
  Announced = "announced",
  /** Its address refuses connections, or another incarnation answers there. */
  Unannounced = "unannounced",
}

/** Number of tasks that the event of a crash names. */
const MAXIMUM_TASKS_IN_EVENT = 10;

/** Collaborators of a `LostRuns`. */
export interface LostRunsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly table: RunTable;
}

/** Settles the runs of a worker that has ended. */
export class LostRuns {
  readonly #options: LostRunsOptions;

  constructor(options: LostRunsOptions) {
    this.#options = options;
  }

  /** Settles every run of the described worker. A worker that was draining has not crashed. */
  settle(end: WorkerEnd, worker: WorkerDescription | undefined): void {
    const { table } = this.#options;
    const runs = table.sentToWorker();
    const isCrash = end === WorkerEnd.Unannounced &&
      worker?.phase === WorkerPhase.Ready;
    if (isCrash) this.#recordCrash(worker, runs);
    const reason = isCrash
      ? InterruptionReason.WorkerCrashed
      : InterruptionReason.WorkerLost;
    for (const run of runs) table.settle(run, interrupted(reason));
  }

  #recordCrash(worker: WorkerDescription, runs: readonly WorkerRun[]): void {
    const { collector } = this.#options;
    collector.count(Counter.WorkerCrashes);
    const tasks = runs
      .map((run) => ({ task: jobTaskKey(run.task), age: this.#ageOf(run) }))
      .sort((left, right) => left.age - right.age)
      .slice(0, MAXIMUM_TASKS_IN_EVENT)
      .map(({ task, age }) => `${task} ${Math.round(age)}`);
    collector.record(EventNumber.WorkerCrashed, "a worker has crashed", {
      severity: Severity.Warning,
      context: {
        worker: worker.incarnation.id,
        runs: runs.length,
        tasks: tasks.join(", "),
      },
    });
  }

  /** Time since the worker accepted the start; 0 where it has not answered the start call. */
  #ageOf({ state }: WorkerRun): Milliseconds {
    return state.phase === RunPhase.Running
      ? this.#options.collector.now - state.startedAt
      : 0;
  }
}
