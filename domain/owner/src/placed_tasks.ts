/**
 * The tasks that were placed at each runner, so that they are found when the runner is gone.
 */
import type { ProcessIdentifier } from "@eelgrassfront/model";
import type { Job } from "./job.ts";
import type { TaskReference } from "./waiting_tasks.ts";

/** Placed tasks by runner. */
export class PlacedTasks {
  readonly #byRunner = new Map<ProcessIdentifier, Map<Job, Set<number>>>();

  /** Notes a task at a runner. */
  add(runner: ProcessIdentifier, { job, index }: TaskReference): void {
    const jobs = this.#byRunner.get(runner) ?? new Map<Job, Set<number>>();
    const indexes = jobs.get(job) ?? new Set();
    indexes.add(index);
    jobs.set(job, indexes);
    this.#byRunner.set(runner, jobs);
  }

  /** Forgets a task at a runner. */
  remove(runner: ProcessIdentifier, { job, index }: TaskReference): void {
    const jobs = this.#byRunner.get(runner);
    const indexes = jobs?.get(job);
    indexes?.delete(index);
    if (indexes?.size === 0) jobs?.delete(job);
  }

  /** Forgets a runner and returns the tasks that it had. */
  removeRunner(runner: ProcessIdentifier): readonly TaskReference[] {
    const jobs = [...this.#byRunner.get(runner) ?? []];
    this.#byRunner.delete(runner);
    return jobs.flatMap(([job, indexes]) =>
      [...indexes].map((index) => ({ job, index }))
    );
  }
}
