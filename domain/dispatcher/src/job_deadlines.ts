/**
 * Earliest deadline of an entry's unanswered jobs. It is kept until the job that it belongs to ends, so that most
 * steps need not look at every job.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import type { DispatchJob } from "./dispatch_job.ts";

type Deadline = Pick<DispatchJob, "deadlineAt">;

/** The earliest deadline of the unanswered jobs. */
export class JobDeadlines {
  /** Undefined while it is unknown, because the job with the earliest deadline has ended. */
  #earliest: Milliseconds | undefined = Infinity;

  /** Takes note of a job that was accepted. */
  add({ deadlineAt }: Deadline): void {
    if (this.#earliest === undefined) return;
    this.#earliest = Math.min(this.#earliest, deadlineAt);
  }

  /** Takes note of a job that has ended. */
  remove({ deadlineAt }: Deadline): void {
    if (this.#earliest === undefined || deadlineAt > this.#earliest) return;
    this.#earliest = undefined;
  }

  /** Returns the earliest deadline of the unanswered jobs; infinity without any. */
  earliest(jobs: Iterable<Deadline>): Milliseconds {
    if (this.#earliest === undefined) {
      let earliest = Infinity;
      for (const { deadlineAt } of jobs) {
        earliest = Math.min(earliest, deadlineAt);
      }
      this.#earliest = earliest;
    }
    return this.#earliest;
  }
}
