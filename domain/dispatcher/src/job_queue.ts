/**
 * Priority queue of an entry's jobs that have tasks to place. Jobs are ordered by the priority of their
 * kind of work; then jobs of which a task was placed go first, since their clients wait for the last task; then
 * the job that needs least work for each client (`compareUrgency`). Suspect jobs follow all others, by their
 * rank. Under overload, less urgent jobs thus do not delay a job that can still meet its objective.
 */
import { compareUrgency } from "@eelgrassfront/overload";
import type { DispatchJob } from "./dispatch_job.ts";

/** Jobs with tasks to place, in the order in which they are served. */
export class JobQueue {
  readonly #jobs: DispatchJob[] = [];

  /** Number of queued jobs. */
  get size(): number {
    return this.#jobs.length;
  }

  /** Queued jobs, the most urgent first. */
  get jobs(): readonly DispatchJob[] {
    return this.#jobs;
  }

  /** Puts the jobs in order after their urgency has changed. */
  sort(): void {
    this.#jobs.sort(compareJobs);
  }

  /** Inserts a job by its urgency; a job that is already queued is moved. */
  add(job: DispatchJob): void {
    this.remove(job);
    const index = this.#jobs.findIndex((other) => compareJobs(job, other) < 0);
    this.#jobs.splice(index === -1 ? this.#jobs.length : index, 0, job);
  }

  /** Removes a job, if it is queued. */
  remove(job: DispatchJob): void {
    const index = this.#jobs.indexOf(job);
    if (index !== -1) this.#jobs.splice(index, 1);
  }

  /** Returns whether a job that is not queued would wait behind another one. */
  isBehind(job: DispatchJob): boolean {
    const [first] = this.#jobs;
    return first !== undefined && compareJobs(first, job) <= 0;
  }

  /** Returns the queued jobs that are served no later than the given job. */
  jobsUpTo(last: DispatchJob): readonly DispatchJob[] {
    return this.#jobs.filter((job) => compareJobs(job, last) <= 0);
  }
}

/** Compares two jobs; the result is negative when the left job is served first. */
export function compareJobs(left: DispatchJob, right: DispatchJob): number {
  return Number(left.isSuspect) - Number(right.isSuspect) ||
    left.trialRank - right.trialRank ||
    compareUrgency(left, right);
}
