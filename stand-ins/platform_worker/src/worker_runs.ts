/**
 * What runs on the stand-in worker: leases, fencing, run numbers, ends, and the breaches of what a worker
 * may be asked to do.
 */

/** How a run ends. */
export type RunHow = "done" | "failed" | "stopped" | "lapsed";

/** What a task does, as its content says. */
export interface TaskScript {
  readonly runMilliseconds: number;
  readonly isFailing: boolean;
  /** Thousandths of a core, for the count of what runs at once. */
  readonly cpu: number;
}

interface Run {
  readonly task: string;
  readonly run: number;
  readonly script: TaskScript;
  readonly startedAt: number;
  readonly timer: NodeJS.Timeout;
}

type End = readonly [number, string, number, RunHow, string];

/** A start or stop that was refused. */
export type Refusal = "fence" | "old" | "late";

/** Longest lease, as on the platform. */
const LONGEST_LEASE_MILLISECONDS = 1_000;

/** Told of each start and each end, with the name of the task. */
export interface RunObserver {
  readonly onStart: (task: string) => void;
  readonly onEnd: (task: string, how: RunHow) => void;
}

/** The runs of one life of a worker. */
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

  /** The worker's steady clock. */
  get clock(): number {
    return Math.floor(performance.now() - this.#bornAt);
  }

  /** Thousandths of a core in use. */
  get usedMillicores(): number {
    return [...this.#running.values()]
      .reduce((sum, { script }) => sum + script.cpu, 0);
  }

  /** Number of runs. */
  get size(): number {
    return this.#running.size;
  }

  /** Starts a run. */
  start(
    task: string,
    run: number,
    script: TaskScript,
    deadline: number,
  ): Refusal | undefined {
    if (deadline < this.clock) return "late";
    this.#extendLease(deadline);
    if (this.#running.get(task)?.run === run) return undefined;
    if (run <= (this.#newestRuns.get(task) ?? 0)) return "old";
    this.#newestRuns.set(task, run);
    const how = script.isFailing ? "failed" : "done";
    const timer = setTimeout(
      () => this.#end(task, how),
      script.runMilliseconds,
    );
    const startedAt = performance.now();
    this.#running.set(task, { task, run, script, startedAt, timer });
    this.#observer.onStart(task);
    return undefined;
  }

  /** Stops a run, or keeps one that has not come from starting. */
  stop(task: string, run: number): void {
    const newest = this.#newestRuns.get(task) ?? 0;
    this.#newestRuns.set(task, Math.max(newest, run));
    if (this.#running.get(task)?.run === run) this.#end(task, "stopped");
  }

  /** Whether the token is the newest; remembers it. */
  isFenced(token: number): boolean {
    if (token < this.#fence) return true;
    this.#fence = token;
    return false;
  }

  /** Forgets ends, renews the lease, and lists after waiting for an end. */
  async hold(
    noted: number,
    deadline: number | undefined,
    waitMilliseconds: number,
  ): Promise<object> {
    if (deadline !== undefined) this.#extendLease(deadline);
    this.#ends = this.#ends.filter(([number]) => number > noted);
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

  /** Ends everything without a word: the worker's life is over. */
  crash(): void {
    clearTimeout(this.#leaseTimer);
    for (const { task, timer } of this.#running.values()) {
      clearTimeout(timer);
      this.#observer.onEnd(task, "stopped");
    }
    this.#running.clear();
  }

  #end(task: string, how: RunHow): void {
    const run = this.#running.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    this.#running.delete(task);
    this.#lastEnd += 1;
    this.#ends.push([this.#lastEnd, task, run.run, how, ""]);
    this.#observer.onEnd(task, how);
    for (const wake of this.#waiters.splice(0)) wake();
  }

  #extendLease(deadline: number): void {
    const longest = this.clock + LONGEST_LEASE_MILLISECONDS;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, longest));
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(
      () => this.#lapse(),
      this.#leaseUntil - this.clock,
    );
  }

  #lapse(): void {
    for (const task of [...this.#running.keys()]) this.#end(task, "lapsed");
  }

  async #waitForEnd(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const limit = setTimeout(resolve, milliseconds);
      this.#waiters.push(() => {
        clearTimeout(limit);
        resolve();
      });
    });
  }
}
