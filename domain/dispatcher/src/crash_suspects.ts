/**
 * Tasks and kinds of work that may crash the workers that start them. A task that was started shortly before a
 * crash is a suspect: from then on its job runs apart, on a few workers that all entries choose alike, where
 * no other job starts beside it. If it crashes such a worker too, it is given up. A task that crashes a worker
 * where it ran apart also puts its kind of work under quarantine: for some seconds all its jobs run apart, so
 * that further jobs of the kind take only these few workers from others.
 */
import {
  type CrashSuspect,
  type DispatchOutput,
  EventNumber,
  jobTaskKey,
  type JobTaskReference,
  type Milliseconds,
  type OutputCollector,
  Severity,
} from "@eelgrassfront/model";
import { ExpiringMap } from "@eelgrassfront/retention";
import type { DispatchJob } from "./dispatch_job.ts";

/** How a crash relates to a task. */
export enum CrashEvidence {
  /** Another task is the more likely cause. */
  Beside = "beside",
  /** The task was among those that had just started. */
  Suspected = "suspected",
  /** The task ran apart. */
  Apart = "apart",
}

/** How long crashes are remembered: longer than clients submit a job again. */
const MEMORY_MILLISECONDS: Milliseconds = 30_000;
const MAXIMUM_JOBS = 10_000;
/** Time without a crash of a kind of work after which its jobs run among others again. */
const QUARANTINE_MILLISECONDS: Milliseconds = 5_000;
/** Crashes under a task after which it is given up if it ran apart in one of them. */
const MAXIMUM_CRASHES = 2;
/** Crashes after which it is given up in any case. */
const MAXIMUM_DOUBTFUL_CRASHES = 5;

interface TaskCrashes {
  beside: number;
  suspected: number;
  apart: number;
}

/** Collaborators of a `CrashSuspects`. */
export interface CrashSuspectsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
}

/** Remembers crashes, and decides which jobs run apart and which are given up. */
export class CrashSuspects {
  readonly #options: CrashSuspectsOptions;
  readonly #jobs = new ExpiringMap<string, Map<string, TaskCrashes>>({
    horizonMilliseconds: MEMORY_MILLISECONDS,
    maximumWeight: MAXIMUM_JOBS,
    weigh: () => 1,
  });
  /** End of the quarantine of each kind of work. */
  readonly #quarantines = new Map<string, Milliseconds>();
  #isAlertUntil: Milliseconds = 0;
  #revision = 0;

  constructor(options: CrashSuspectsOptions) {
    this.#options = options;
  }

  /** Rises whenever a job may have become a suspect or no longer be one. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether a worker has crashed recently, so that suspects may wait for a worker. */
  get isAlert(): boolean {
    return this.#options.collector.now < this.#isAlertUntil;
  }

  /** Records a crash under a task of this entry. */
  record(
    job: DispatchJob,
    task: JobTaskReference,
    evidence: CrashEvidence,
  ): void {
    this.#add(task, evidence, job.route.name);
  }

  /** Clears a task that has run apart and did not crash its worker; its crashes still count. */
  clear(task: JobTaskReference): void {
    const crashes = this.#jobs.get(task.job)?.get(jobTaskKey(task));
    if (crashes === undefined || crashes.suspected === 0) return;
    crashes.beside += crashes.suspected;
    crashes.suspected = 0;
    this.#revision += 1;
  }

  /** Records the suspects among the tasks of other entries; their jobs may be submitted to this one. */
  recordReport(suspects: readonly CrashSuspect[]): void {
    for (const { task, route } of suspects) {
      const evidence = route === undefined
        ? CrashEvidence.Suspected
        : CrashEvidence.Apart;
      this.#add(task, evidence, route);
    }
  }

  /** Whether a job runs apart. */
  isSuspect({ id, route }: DispatchJob): boolean {
    if (this.#quarantines.has(route.name)) return true;
    const tasks = this.#jobs.get(id);
    return tasks !== undefined && [...tasks.values()].some(isSuspectTask);
  }

  /** Whether a job is given up, because workers have crashed under one of its tasks too often. */
  isConvicted({ id }: DispatchJob): boolean {
    const tasks = this.#jobs.get(id);
    return tasks !== undefined && [...tasks.values()].some(isConvictedTask);
  }

  /**
   * Returns the position of a job among the suspects; the lowest runs first. Before its kind of work is under
   * quarantine, the job with the most crashes shows soonest which kind is to blame. Later, jobs that have
   * crashed no worker are the most likely to complete.
   */
  trialRank({ id, route }: DispatchJob): number {
    let suspected = 0;
    let apart = 0;
    for (const crashes of this.#jobs.get(id)?.values() ?? []) {
      suspected += crashes.suspected;
      apart += crashes.apart;
    }
    return this.#quarantines.has(route.name) ? suspected + apart : -suspected;
  }

  /** Ends the quarantines that are due. */
  tick(): void {
    const { now } = this.#options.collector;
    this.#jobs.purge(now);
    for (const [route, until] of this.#quarantines) {
      if (now < until) continue;
      this.#quarantines.delete(route);
      this.#revision += 1;
    }
  }

  #add(
    task: JobTaskReference,
    evidence: CrashEvidence,
    route: string | undefined,
  ): void {
    const { now } = this.#options.collector;
    this.#isAlertUntil = now + QUARANTINE_MILLISECONDS;
    this.#revision += 1;
    const tasks = this.#jobs.get(task.job) ?? new Map<string, TaskCrashes>();
    const key = jobTaskKey(task);
    const crashes = tasks.get(key) ?? { beside: 0, suspected: 0, apart: 0 };
    crashes[evidence] += 1;
    tasks.set(key, crashes);
    this.#jobs.set(now, task.job, tasks);
    if (evidence === CrashEvidence.Apart && route !== undefined) {
      this.#quarantine(route);
    }
  }

  #quarantine(route: string): void {
    const { collector } = this.#options;
    const isNew = !this.#quarantines.has(route);
    this.#quarantines.set(route, collector.now + QUARANTINE_MILLISECONDS);
    if (!isNew) return;
    collector.record(
      EventNumber.KindQuarantined,
      "a kind of work crashes workers; its jobs run apart",
      { severity: Severity.Warning, context: { route } },
    );
  }
}

function isSuspectTask({ suspected, apart }: TaskCrashes): boolean {
  return suspected + apart > 0;
}

function isConvictedTask({ beside, suspected, apart }: TaskCrashes): boolean {
  const crashes = beside + suspected + apart;
  return apart > 0
    ? crashes >= MAXIMUM_CRASHES
    : crashes >= MAXIMUM_DOUBTFUL_CRASHES;
}
