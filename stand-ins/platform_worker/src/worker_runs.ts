/**
 * Runs of the stand-in for a worker, with leases, fencing tokens, run numbers and the list of ends.
 */

/** How a run ended, in the platform's words. */
export type RunEndKind = "done" | "failed" | "stopped" | "lapsed";

/** Behaviour of a task, from its content. */
export interface TaskScript {
  readonly runMilliseconds: number;
  readonly isFailing: boolean;
  /** Processor use in millicores. */
  readonly cpu: number;
}

interface Run {
  readonly task: string;
  readonly run: number;
  readonly script: TaskScript;
  readonly startedAt: number;
  readonly timer: NodeJS.Timeout;
}

type End = readonly [number, string, number, RunEndKind, string];

/** Reason of a refused call, in the platform's words. */
export type RefusalReason = "fence" | "old" | "late";

/** Longest lease that the worker grants; the same as on the platform. */
const MAXIMUM_LEASE_MILLISECONDS = 1_000;

/** Callbacks for each start and end of a run, with the name of the task. */
export interface RunObserver {
  readonly onStart: (task: string) => void;
  readonly onEnd: (task: string, outcome: RunEndKind) => void;
}

/** The runs of one worker incarnation. */
export class WorkerRuns {
  readonly #observer: RunObserver;
  readonly #running = new Map<string, Run>();
  readonly #newestRuns = new Map<string, number>();
  readonly #bornAt = performance.now();
  #ends: End[] = [];
  #lastEnd = 0;
  #fence = 0;
  #leaseUntil = 0;
  #leaseTimer: NodeJS.Timeout | undefined;
  #waiters: (() => void)[] = [];

  constructor(observer: RunObserver) {
    this.#observer = observer;
  }

  /** The worker's monotonic clock, in milliseconds. */
  get clock(): number {
    return Math.floor(performance.now() - this.#bornAt);
  }

  /** Processor use of all runs, in millicores. */
  get usedMillicores(): number {
    return [...this.#running.values()]
      .reduce((sum, { script }) => sum + script.cpu, 0);
  }

  /** Number of active runs. */
  get size(): number {
    return this.#running.size;
  }

  /** Starts a run. Returns the reason when it is refused. */
  start(
    task: string,
    run: number,
    script: TaskScript,
    deadline: number,
  ): RefusalReason | undefined {
    if (deadline < this.clock) return "late";
    this.#extendLease(deadline);
    if (this.#running.get(task)?.run === run) return undefined;
    if (run <= (this.#newestRuns.get(task) ?? 0)) return "old";
    this.#newestRuns.set(task, run);
    const outcome = script.isFailing ? "failed" : "done";
    const timer = setTimeout(
      () => this.#end(task, outcome),
      script.runMilliseconds,
    );
    const startedAt = performance.now();
    this.#running.set(task, { task, run, script, startedAt, timer });
    this.#observer.onStart(task);
    return undefined;
  }

  /** Stops a run, and refuses later starts of it when it has not started yet. */
  stop(task: string, run: number): void {
    const newest = this.#newestRuns.get(task) ?? 0;
    this.#newestRuns.set(task, Math.max(newest, run));
    if (this.#running.get(task)?.run === run) this.#end(task, "stopped");
  }

  /** Whether the token is older than one seen before; otherwise stores it as the newest. */
  isFenced(token: number): boolean {
    if (token < this.#fence) return true;
    this.#fence = token;
    return false;
  }

  /** Drops the acknowledged ends, renews the lease, waits for an end, and returns the list of runs. */
  async poll(
    acknowledged: number,
    deadline: number | undefined,
    waitMilliseconds: number,
  ): Promise<object> {
    if (deadline !== undefined) this.#extendLease(deadline);
    this.#ends = this.#ends.filter(([number]) => number > acknowledged);
    if (this.#ends.length === 0 && waitMilliseconds > 0) {
      await this.#waitForEnd(waitMilliseconds);
    }
    return {
      clockMs: this.clock,
      running: [...this.#running.values()].map((
        { task, run, script, startedAt },
      ) => [
        task,
        run,
        "",
        Math.floor(
          100 * (performance.now() - startedAt) / script.runMilliseconds,
        ),
      ]),
      finished: this.#ends,
    };
  }

  /** Ends all runs without listing their ends, as a crash of the worker does. */
  crash(): void {
    clearTimeout(this.#leaseTimer);
    for (const { task, timer } of this.#running.values()) {
      clearTimeout(timer);
      this.#observer.onEnd(task, "stopped");
    }
    this.#running.clear();
  }

  #end(task: string, outcome: RunEndKind): void {
    const run = this.#running.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    this.#running.delete(task);
    this.#lastEnd += 1;
    this.#ends.push([this.#lastEnd, task, run.run, outcome, ""]);
    this.#observer.onEnd(task, outcome);
    for (const wake of this.#waiters.splice(0)) wake();
  }

  #extendLease(deadline: number): void {
    const longest = this.clock + MAXIMUM_LEASE_MILLISECONDS;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, longest));
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(
      () => this.#expireLease(),
      this.#leaseUntil - this.clock,
    );
  }

  #expireLease(): void {
    for (const task of [...this.#running.keys()]) this.#end(task, "lapsed");
  }

  async #waitForEnd(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.#waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
