/**
 * Upper bound for the results of a load, from a clairvoyant scheduler: one scheduler for all workers that
 * knows every run time, starts a task as soon as any worker has free capacity, and avoids slow workers. The
 * scheduler orders jobs like an entry does: by priority, then jobs that have started, then the earliest
 * required start. It refuses a job that can no longer start in time.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { ArrivalGenerator, type ArrivingJob } from "./load_arrivals.ts";
import {
  countCompleted,
  countRefused,
  createOutcomes,
  DRAIN_MILLISECONDS,
  type KindOutcome,
  type PlayedLoad,
  WORKER_MILLICORES,
  WORKERS,
} from "./load_player.ts";
import { VirtualTime } from "./virtual_time.ts";

interface BoundJob {
  readonly job: ArrivingJob;
  readonly latestStart: Milliseconds;
  unstartedTasks: number;
  unfinishedTasks: number;
}

/** Returns the results that an ideal scheduler reaches for a load. */
export function computeLoadBound(load: PlayedLoad): readonly KindOutcome[] {
  return new ClairvoyantScheduler(load).play();
}

class ClairvoyantScheduler {
  readonly #load: PlayedLoad;
  readonly #time = new VirtualTime();
  readonly #outcomes: Map<string, KindOutcome>;
  #queue: BoundJob[] = [];
  #usedMillicores = 0;

  constructor(load: PlayedLoad) {
    this.#load = load;
    this.#outcomes = createOutcomes(load.kinds);
  }

  play(): readonly KindOutcome[] {
    const { durationMilliseconds, slowWorkers = [] } = this.#load;
    new ArrivalGenerator({
      load: this.#load,
      time: this.#time,
      startMilliseconds: 0,
      onArrival: (job) => this.#enqueue(job),
    }).start();
    for (const { until } of slowWorkers) {
      this.#time.after(until, () => this.#startQueued());
    }
    this.#time.runUntil(durationMilliseconds + DRAIN_MILLISECONDS);
    return [...this.#outcomes.values()];
  }

  #enqueue(job: ArrivingJob): void {
    const outcome = this.#outcomes.get(job.kind.name);
    if (outcome !== undefined) outcome.submitted += 1;
    const slack = job.objectiveMilliseconds - job.runMilliseconds;
    const latestStart = job.at + slack;
    const queued = {
      job,
      latestStart,
      unstartedTasks: job.tasks,
      unfinishedTasks: job.tasks,
    };
    this.#queue.push(queued);
    this.#time.after(slack, () => this.#startQueued());
    this.#startQueued();
  }

  #startQueued(): void {
    this.#refuseExpired();
    this.#queue.sort(compareBoundJobs);
    for (const queued of this.#queue) {
      const { millicores } = queued.job;
      while (
        queued.unstartedTasks > 0 && millicores <= this.#freeMillicores()
      ) {
        this.#startTask(queued);
      }
      if (queued.unstartedTasks > 0) break;
    }
    this.#queue = this.#queue.filter(({ unstartedTasks }) =>
      unstartedTasks > 0
    );
  }

  #refuseExpired(): void {
    const { now } = this.#time;
    this.#queue = this.#queue.filter(({ job, latestStart, unstartedTasks }) => {
      const isLate = unstartedTasks === job.tasks && now >= latestStart;
      const outcome = this.#outcomes.get(job.kind.name);
      if (isLate && outcome !== undefined) countRefused(outcome, now - job.at);
      return !isLate;
    });
  }

  #startTask(queued: BoundJob): void {
    const { job } = queued;
    queued.unstartedTasks -= 1;
    this.#usedMillicores += job.millicores;
    this.#time.after(job.runMilliseconds, () => {
      this.#usedMillicores -= job.millicores;
      queued.unfinishedTasks -= 1;
      const outcome = this.#outcomes.get(job.kind.name);
      if (queued.unfinishedTasks === 0 && outcome !== undefined) {
        const elapsed = this.#time.now - job.at;
        countCompleted(outcome, elapsed, job.objectiveMilliseconds);
      }
      this.#startQueued();
    });
  }

  #freeMillicores(): number {
    const { now } = this.#time;
    const { slowWorkers = [] } = this.#load;
    const slow = slowWorkers
      .filter(({ from, until }) => now >= from && now < until)
      .reduce((sum, { count }) => sum + count, 0);
    return (WORKERS - slow) * WORKER_MILLICORES - this.#usedMillicores;
  }
}

function compareBoundJobs(left: BoundJob, right: BoundJob): number {
  return left.job.kind.priority - right.job.kind.priority ||
    Number(hasStartedTasks(right)) - Number(hasStartedTasks(left)) ||
    left.latestStart - right.latestStart;
}

function hasStartedTasks({ job, unstartedTasks }: BoundJob): boolean {
  return unstartedTasks < job.tasks;
}
