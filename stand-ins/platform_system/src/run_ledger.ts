/**
 * What all stand-in workers together have seen: which tasks run where, and which ran twice at once.
 */
import type { RunObserver } from "@eelgrassfront/stand-in-platform-worker";

/** Starts and ends over all workers. */
export class RunLedger {
  readonly #running = new Map<string, Set<string>>();
  readonly #starts = new Map<string, number>();
  readonly #completions = new Map<string, number>();
  readonly #doubled: string[] = [];

  /** Tasks that ran on two workers at the same time. */
  get doubled(): readonly string[] {
    return this.#doubled;
  }

  /** Starts of all tasks of a job. */
  startsOf(job: string): number {
    return sumOf(this.#starts, job);
  }

  /** Runs of all tasks of a job that completed. */
  completionsOf(job: string): number {
    return sumOf(this.#completions, job);
  }

  /** Tasks of a job that run now. */
  runningOf(job: string): number {
    return [...this.#running].filter(([task, workers]) =>
      task.startsWith(`${job}.`) && workers.size > 0
    ).length;
  }

  /** The observer of one worker. */
  observerOf(worker: string): RunObserver {
    return {
      onStart: (task) => {
        const workers = this.#running.get(task) ?? new Set();
        if (workers.size > 0) this.#doubled.push(task);
        workers.add(worker);
        this.#running.set(task, workers);
        this.#starts.set(task, (this.#starts.get(task) ?? 0) + 1);
      },
      onEnd: (task, how) => {
        this.#running.get(task)?.delete(worker);
        if (how !== "done") return;
        this.#completions.set(task, (this.#completions.get(task) ?? 0) + 1);
      },
    };
  }
}

function sumOf(counts: ReadonlyMap<string, number>, job: string): number {
  let sum = 0;
  for (const [task, count] of counts) {
    if (task.startsWith(`${job}.`)) sum += count;
  }
  return sum;
}
