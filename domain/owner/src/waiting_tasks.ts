/**
 * Tasks that wait at an owner for a runner. Each service has its own fair queue, so that its tasks never
 * wait behind those of another service. Run time is charged here to jobs, teams and kinds of work.
 */
import {
  computeShares,
  createQueueDiscipline,
  EQUAL_SHARES,
  FairQueue,
  QueueDisciplineKind,
  type QueueItemMetadata,
  type Shares,
} from "@eelgrassfront/fairness";
import type { Configuration, Milliseconds } from "@eelgrassfront/model";
import type { PlacementRequest } from "@eelgrassfront/placement";
import type { Job } from "./job.ts";

/** A task of a job. */
export interface TaskReference {
  readonly job: Job;
  readonly index: number;
}

/** Share of its deadline after which a submission takes precedence over less-served submissions. */
const URGENT_SHARE_OF_DEADLINE = 0.4;

/** The queues of waiting tasks, by service. */
export class WaitingTasks {
  readonly #discipline: QueueDisciplineKind;
  readonly #queues = new Map<string, FairQueue<TaskReference>>();
  #shares: Shares = EQUAL_SHARES;

  constructor(discipline = QueueDisciplineKind.WeightedShares) {
    this.#discipline = discipline;
  }

  /** Number of waiting tasks. */
  get size(): number {
    let tasks = 0;
    for (const queue of this.#queues.values()) tasks += queue.size;
    return tasks;
  }

  /** Returns every service that has had tasks, with its queue. */
  services(): Iterable<readonly [string, FairQueue<TaskReference>]> {
    return this.#queues;
  }

  /** Returns the queue of a service; creates it on first use. */
  ofService(service: string): FairQueue<TaskReference> {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const queue = new FairQueue<TaskReference>(
      createQueueDiscipline(this.#discipline, () => this.#shares),
    );
    this.#queues.set(service, queue);
    return queue;
  }

  /** Applies the shares of a configuration. */
  applyConfiguration(configuration: Configuration): void {
    this.#shares = computeShares(configuration);
  }

  /** Adds a task to the queue of its service. */
  add(job: Job, index: number): void {
    this.#queueOf(job).add(queueMetadataOf(job), { job, index });
  }

  /** Removes the waiting tasks of a job. */
  remove(job: Job): void {
    this.#queueOf(job).removeSubmission(queueMetadataOf(job));
  }

  /** Charges expected run time to a job, its team and its kind of work. */
  charge(job: Job, expected: Milliseconds): void {
    job.servedMilliseconds += expected;
    this.#queueOf(job).charge(queueMetadataOf(job), expected);
  }

  /**
   * Corrects the run time charged for a task once the task has ended.
   *
   * @param difference measured minus expected run time, in milliseconds
   */
  adjust(job: Job, difference: Milliseconds): void {
    job.servedMilliseconds += difference;
    this.#queueOf(job).correctCharge(queueMetadataOf(job), difference);
  }

  #queueOf(job: Job): FairQueue<TaskReference> {
    return this.ofService(job.options.kindOfWork.service);
  }
}

/** Returns the attributes by which the queue orders a job. */
export function queueMetadataOf(job: Job): QueueItemMetadata {
  const { arrivedAt, deadlineAt } = job.options;
  return {
    submission: job.identifier,
    team: job.options.submission.team,
    kindOfWork: job.options.kindOfWork.name,
    servedMilliseconds: job.servedMilliseconds,
    arrivedAt,
    urgentAt: arrivedAt + (deadlineAt - arrivedAt) * URGENT_SHARE_OF_DEADLINE,
  };
}

/** Returns the requirements of a job's tasks for a runner. */
export function placementRequestOf(job: Job): PlacementRequest {
  return {
    service: job.options.kindOfWork.service,
    requirements: job.options.submission.requirements,
    isSubmissionUnserved: job.servedMilliseconds === 0,
    submissionTasks: job.size,
  };
}
