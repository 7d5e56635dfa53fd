/**
 * Records the starts and ends of runs on all stand-in workers, and detects tasks that run twice at the same
 * time.
 */
import type { RunObserver } from "@eelgrassfront/stand-in-platform-worker";

/** Counts starts and completions of tasks over all workers. */
export class RunRecorder {
  readonly #running = new Map<string, Set<string>>();
  readonly #starts = new Map<string, number>();
  readonly #completions = new Map<string, number>();
  readonly #overlappingStarts: string[] = [];

  /** Tasks that started while another run of the same task was active. */
  get overlappingStarts(): readonly string[] {
    return this.#overlappingStarts;
  }

  /** Number of starts of all tasks of a job. */
  startsOf(job: string): number {
    return sumOf(this.#starts, job);
  }

  /** Number of completed runs of all tasks of a job. */
  completionsOf(job: string): number {
    return sumOf(this.#completions, job);
  }

  /** Number of tasks of a job that are running. */
  runningOf(job: string): number {
    return [...this.#running].filter(([task, workers]) =>
      task.startsWith(`${job}.`) && workers.size > 0
    ).length;
  }

  /** Returns an observer that records the runs of one worker. */
  observerOf(worker: string): RunObserver {
    return {
      onStart: (task) => {
        const workers = this.#running.get(task) ?? new Set();
        if (workers.size > 0) this.#overlappingStarts.push(task);
        workers.add(worker);
        this.#running.set(task, workers);
        this.#starts.set(task, (this.#starts.get(task) ?? 0) + 1);
      },
      onEnd: (task, outcome) => {
        this.#running.get(task)?.delete(worker);
        if (outcome !== "done") return;
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
