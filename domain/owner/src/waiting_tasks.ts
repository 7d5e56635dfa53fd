/**
 * The tasks that wait at an owner for a runner, in one fair queue for each service, so that one service's
 * tasks never wait behind another's; and what jobs, teams and kinds of work are charged for.
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

/** Share of its deadline after which a submission goes before those that received less. */
const URGENT_SHARE_OF_DEADLINE = 0.4;

/** Waiting tasks by service. */
export class WaitingTasks {
  readonly #discipline: QueueDisciplineKind;
  readonly #queues = new Map<string, FairQueue<TaskReference>>();
  #shares: Shares = EQUAL_SHARES;

  constructor(discipline = QueueDisciplineKind.WeightedShares) {
    this.#discipline = discipline;
  }

  /** Number of tasks that wait. */
  get size(): number {
    let tasks = 0;
    for (const queue of this.#queues.values()) tasks += queue.size;
    return tasks;
  }

  /** Services that have had tasks, with their queues. */
  services(): Iterable<readonly [string, FairQueue<TaskReference>]> {
    return this.#queues;
  }

  /** The queue of a service. */
  ofService(service: string): FairQueue<TaskReference> {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const queue = new FairQueue<TaskReference>(
      createQueueDiscipline(this.#discipline, () => this.#shares),
    );
    this.#queues.set(service, queue);
    return queue;
  }

  /** Takes the shares of a configuration. */
  applyConfiguration(configuration: Configuration): void {
    this.#shares = computeShares(configuration);
  }

  /** Lets a task wait. */
  add(job: Job, index: number): void {
    this.#queueOf(job).add(queueMetadataOf(job), { job, index });
  }

  /** Forgets the waiting tasks of a job. */
  remove(job: Job): void {
    this.#queueOf(job).removeSubmission(queueMetadataOf(job));
  }

  /** Counts expected run time for a job, its team and its kind of work. */
  charge(job: Job, expected: Milliseconds): void {
    job.servedMilliseconds += expected;
    this.#queueOf(job).charge(queueMetadataOf(job), expected);
  }

  /** Replaces the expected run time of a job's task by the measured one. */
  correctCharge(job: Job, difference: Milliseconds): void {
    job.servedMilliseconds += difference;
    this.#queueOf(job).correctCharge(queueMetadataOf(job), difference);
  }

  #queueOf(job: Job): FairQueue<TaskReference> {
    return this.ofService(job.options.kindOfWork.service);
  }
}

/** How a job stands in its queue. */
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

/** What a job's tasks need of a runner. */
export function placementRequestOf(job: Job): PlacementRequest {
  return {
    service: job.options.kindOfWork.service,
    requirements: job.options.submission.requirements,
    isSubmissionUnserved: job.servedMilliseconds === 0,
    submissionTasks: job.size,
  };
}
