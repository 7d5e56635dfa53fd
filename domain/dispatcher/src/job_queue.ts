/**
 * The jobs of an entry that have tasks to place, the most urgent first: by the priority of their kind of
 * work, then those that have begun, since their callers wait for the last task, then by the time at which
 * they must start. It answers load above what the workers can take: what can still meet its objective is
 * not held up by what is less urgent.
 */
import type { DispatchJob } from "./dispatch_job.ts";

/** Jobs in the order in which they are served. */
export class JobQueue {
  readonly #jobs: DispatchJob[] = [];

  /** Number of jobs. */
  get size(): number {
    return this.#jobs.length;
  }

  /** Jobs, the most urgent first. */
  get jobs(): readonly DispatchJob[] {
    return this.#jobs;
  }

  /** Adds a job in its place; a job that is there keeps one place. */
  add(job: DispatchJob): void {
    this.remove(job);
    const place = this.#jobs.findIndex((other) => compareJobs(job, other) < 0);
    this.#jobs.splice(place === -1 ? this.#jobs.length : place, 0, job);
  }

  /** Removes a job. */
  remove(job: DispatchJob): void {
    const place = this.#jobs.indexOf(job);
    if (place !== -1) this.#jobs.splice(place, 1);
  }

  /** Jobs that would be served before a new one. */
  ahead(of: DispatchJob): readonly DispatchJob[] {
    return this.#jobs.filter((job) => compareJobs(job, of) <= 0);
  }
}

/** Negative when the left job is served first. */
export function compareJobs(left: DispatchJob, right: DispatchJob): number {
  return left.route.priority - right.route.priority ||
    Number(right.hasStarted) - Number(left.hasStarted) ||
    left.startBy - right.startBy;
}
