/**
 * Upper bound for the results of a load, from a clairvoyant scheduler: one scheduler for all workers that
 * knows every run time, starts a task as soon as any worker has free capacity, and avoids slow workers. The
 * scheduler uses the fastest kind of worker with free capacity. It orders jobs like an entry does: by priority, then jobs that have started, then the least work. It refuses a job that can no longer start in time.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { compareUrgency, type Urgency } from "@eelgrassfront/overload";
import { ArrivalGenerator, type ArrivingJob } from "./load_arrivals.ts";
import {
  countCompleted,
  countRefused,
  createOutcomes,
  DRAIN_MILLISECONDS,
  type KindOutcome,
  type PlayedLoad,
  SMALL_FLEET,
  WORKER_MILLICORES,
} from "./load_player.ts";
import { workerKindAt } from "./dispatch_vm.ts";
import { VirtualTime } from "./virtual_time.ts";

interface BoundJob {
  readonly job: ArrivingJob;
  readonly latestStart: Milliseconds;
  unstartedTasks: number;
  unfinishedTasks: number;
}

/** The workers of one kind, taken together. */
interface WorkerPool {
  readonly runFactor: number;
  /** Capacity of each worker by its position in the fleet. */
  readonly workers: readonly {
    readonly index: number;
    readonly millicores: number;
  }[];
  usedMillicores: number;
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
  /** Kinds of workers, the fastest first. */
  readonly #pools: readonly WorkerPool[];

  constructor(load: PlayedLoad) {
    this.#load = load;
    this.#outcomes = createOutcomes(load.kinds);
    this.#pools = createPools(load);
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
    const slack = job.objectiveMilliseconds -
      job.runMilliseconds * (this.#pools[0]?.runFactor ?? 1);
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
      while (queued.unstartedTasks > 0) {
        const pool = this.#findPool(millicores);
        if (pool === undefined) break;
        this.#startTask(queued, pool);
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

  #startTask(queued: BoundJob, pool: WorkerPool): void {
    const { job } = queued;
    queued.unstartedTasks -= 1;
    pool.usedMillicores += job.millicores;
    this.#time.after(job.runMilliseconds * pool.runFactor, () => {
      pool.usedMillicores -= job.millicores;
      queued.unfinishedTasks -= 1;
      const outcome = this.#outcomes.get(job.kind.name);
      if (queued.unfinishedTasks === 0 && outcome !== undefined) {
        const elapsed = this.#time.now - job.at;
        countCompleted(outcome, elapsed, job.objectiveMilliseconds);
      }
      this.#startQueued();
    });
  }

  #findPool(millicores: number): WorkerPool | undefined {
    const slow = this.#slowWorkerCount();
    return this.#pools.find(({ workers, usedMillicores }) => {
      const capacity = workers.reduce(
        (sum, worker) => worker.index < slow ? sum : sum + worker.millicores,
        0,
      );
      return millicores <= capacity - usedMillicores;
    });
  }

  #slowWorkerCount(): number {
    const { now } = this.#time;
    const { slowWorkers = [] } = this.#load;
    return slowWorkers
      .filter(({ from, until }) => now >= from && now < until)
      .reduce((sum, { count }) => sum + count, 0);
  }
}

function createPools(
  { fleet = SMALL_FLEET, workerKinds = [] }: PlayedLoad,
): readonly WorkerPool[] {
  const workers = Array.from({ length: fleet.workers }, (_, index) => {
    const kind = workerKindAt(workerKinds, index);
    return {
      index,
      millicores: kind?.capacityMillicores ?? WORKER_MILLICORES,
      runFactor: kind?.runFactor ?? 1,
    };
  });
  const factors = [...new Set(workers.map(({ runFactor }) => runFactor))];
  return factors
    .sort((left, right) => left - right)
    .map((factor) => ({
      runFactor: factor,
      workers: workers.filter(({ runFactor }) => runFactor === factor),
      usedMillicores: 0,
    }));
}

function compareBoundJobs(left: BoundJob, right: BoundJob): number {
  return compareUrgency(urgencyOf(left), urgencyOf(right));
}

function urgencyOf(queued: BoundJob): Urgency {
  const { kind, tasks, millicores, runMilliseconds } = queued.job;
  return {
    priority: kind.priority,
    hasStarted: hasStartedTasks(queued),
    isLate: false,
    workPerCaller: tasks * millicores * runMilliseconds,
    startBy: queued.latestStart,
  };
}

function hasStartedTasks({ job, unstartedTasks }: BoundJob): boolean {
  return unstartedTasks < job.tasks;
}
