/**
 * Record of what clients sent, what they were answered, and what the workers ran. It also finds the runs of one
 * task that overlap.
 */
import { writeFileSync } from "node:fs";

/** Collects lines, and the runs of each task. */
export class Recorder {
  #lines = [];
  #startedAt = performance.now();
  #runs = [];

  /** Milliseconds since the recorder was created. */
  get now() {
    return performance.now() - this.#startedAt;
  }

  /** All runs, in the order of their starts. */
  get runs() {
    return this.#runs;
  }

  /** Adds a line with the time. */
  line(text) {
    this.#lines.push(`${this.now.toFixed(1).padStart(9)}  ${text}`);
  }

  /** Records the start of a run and returns the run. */
  start(worker, task, attempt) {
    const run = { worker, task, attempt, startedAt: this.now, how: undefined };
    this.#runs.push(run);
    this.line(`${worker} starts ${task} run ${attempt}`);
    return run;
  }

  /** Records the end of a run. */
  end(run, how) {
    run.endedAt = this.now;
    run.how = how;
    this.line(`${run.worker} ends ${run.task} run ${run.attempt}: ${how}`);
  }

  /** Pairs of runs of one task that were active at the same time on two workers, with the overlap. */
  overlaps() {
    const byTask = Map.groupBy?.(this.#runs, ({ task }) => task) ??
      groupByTask(this.#runs);
    const pairs = [];
    for (const runs of byTask.values()) {
      for (const [index, later] of runs.entries()) {
        for (const earlier of runs.slice(0, index)) {
          const end = Math.min(
            earlier.endedAt ?? this.now,
            later.endedAt ?? this.now,
          );
          const milliseconds = end - later.startedAt;
          if (milliseconds > 0) pairs.push({ earlier, later, milliseconds });
        }
      }
    }
    return pairs;
  }

  /** Writes the record to a file. */
  write(path) {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}

function groupByTask(runs) {
  const groups = new Map();
  for (const run of runs) {
    groups.set(run.task, [...groups.get(run.task) ?? [], run]);
  }
  return groups;
}
