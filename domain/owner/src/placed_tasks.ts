/**
 * Index of placed tasks by runner, so that the tasks of a departed runner can be found.
 */
import type { ProcessIdentifier } from "@eelgrassfront/model";
import type { Job } from "./job.ts";
import type { TaskReference } from "./waiting_tasks.ts";

/** The placed tasks of every runner. */
export class PlacedTasks {
  readonly #byRunner = new Map<ProcessIdentifier, Map<Job, Set<number>>>();

  /** Adds a task that was placed on a runner. */
  add(runner: ProcessIdentifier, { job, index }: TaskReference): void {
    const jobs = this.#byRunner.get(runner) ?? new Map<Job, Set<number>>();
    const indexes = jobs.get(job) ?? new Set();
    indexes.add(index);
    jobs.set(job, indexes);
    this.#byRunner.set(runner, jobs);
  }

  /** Removes a task from a runner. */
  remove(runner: ProcessIdentifier, { job, index }: TaskReference): void {
    const jobs = this.#byRunner.get(runner);
    const indexes = jobs?.get(job);
    indexes?.delete(index);
    if (indexes?.size === 0) jobs?.delete(job);
  }

  /** Removes a runner and returns the tasks that were placed on it. */
  removeRunner(runner: ProcessIdentifier): readonly TaskReference[] {
    const jobs = [...this.#byRunner.get(runner) ?? []];
    this.#byRunner.delete(runner);
    return jobs.flatMap(([job, indexes]) =>
      [...indexes].map((index) => ({ job, index }))
    );
  }
}
