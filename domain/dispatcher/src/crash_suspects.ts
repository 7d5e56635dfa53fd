/**
 * Tasks and kinds of work that may crash the workers that start them. A task that was started shortly before a
 * crash is a suspect: from then on its job runs apart, on a few workers that all entries choose alike, where
 * no other job starts beside it. If it crashes such a worker too, it is given up. A task that crashes a worker
 * where it ran apart also puts its kind of work under quarantine: for some seconds all its jobs run apart, so
 * that further jobs of the kind take only these few workers from others.
 *
 * Workers also crash for other reasons, several at once in an outage. What a crash says of a task:
 *
 * | the task at the crashed worker                        | counts as                                 |
 * | ----------------------------------------------------- | ----------------------------------------- |
 * | its start is not evident                              | nothing                                   |
 * | it began long before, or another one is more likely   | a crash beside it                         |
 * | it had just begun                                     | a suspected crash                         |
 * | it had just begun, apart from other jobs              | a crash apart                             |
 * | one of the last two, near a crash that no run explains | a crash beside it, and no quarantine      |
 *
 * A job fails after two suspected crashes of a task, one of them apart; after three while workers also crash
 * without a run that explains it; and after five crashes of any kind that count.
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
import { UnexplainedCrashes } from "./unexplained_crashes.ts";

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
/** Suspected crashes of a task after which it is given up if it ran apart in one of them. */
const MAXIMUM_CRASHES = 2;
/** The same while workers crash without a run that explains it, so that a task may meet two such crashes. */
const MAXIMUM_CRASHES_AMONG_UNEXPLAINED = 3;
/** Crashes under a task after which it is given up in any case. */
const MAXIMUM_DOUBTFUL_CRASHES = 5;

interface TaskCrash {
  readonly at: Milliseconds;
  evidence: CrashEvidence;
}

/** Collaborators of a `CrashSuspects`. */
export interface CrashSuspectsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
}

/** Remembers crashes, and decides which jobs run apart and which are given up. */
export class CrashSuspects {
  readonly #options: CrashSuspectsOptions;
  readonly #jobs = new ExpiringMap<string, Map<string, TaskCrash[]>>({
    horizonMilliseconds: MEMORY_MILLISECONDS,
    maximumWeight: MAXIMUM_JOBS,
    weigh: () => 1,
  });
  /** Times of the crashes that keep a kind of work under quarantine. */
  readonly #quarantines = new Map<string, Milliseconds[]>();
  readonly #unexplained: UnexplainedCrashes;
  #isAlertUntil: Milliseconds = 0;
  #revision = 0;

  constructor(options: CrashSuspectsOptions) {
    this.#options = options;
    this.#unexplained = new UnexplainedCrashes(options);
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
    const crashes = this.#jobs.get(task.job)?.get(jobTaskKey(task)) ?? [];
    for (const crash of crashes) {
      if (crash.evidence !== CrashEvidence.Suspected) continue;
      crash.evidence = CrashEvidence.Beside;
      this.#revision += 1;
    }
  }

  /**
   * Records a crash at a sidecar by the suspects among the tasks of other entries, whose jobs may be submitted to
   * this one. A report without suspects says that no run there explains the crash.
   */
  recordReport(suspects: readonly CrashSuspect[]): void {
    if (suspects.length === 0) this.#recordUnexplained();
    for (const { task, route } of suspects) {
      const evidence = route === undefined
        ? CrashEvidence.Suspected
        : CrashEvidence.Apart;
      this.#add(task, evidence, route);
    }
  }

  /** Whether a job runs apart. */
  isSuspect({ id, route }: DispatchJob): boolean {
    return this.#isUnderQuarantine(route.name) ||
      this.#crashesOf(id).some((crashes) => this.#weigh(crashes).total > 0);
  }

  /** Whether a job is given up, because workers have crashed under one of its tasks too often. */
  isConvicted({ id }: DispatchJob): boolean {
    const maximum = this.#unexplained.isAny
      ? MAXIMUM_CRASHES_AMONG_UNEXPLAINED
      : MAXIMUM_CRASHES;
    return this.#crashesOf(id).some((crashes) => {
      const { apart, total } = this.#weigh(crashes);
      return (apart > 0 && total >= maximum) ||
        crashes.length >= MAXIMUM_DOUBTFUL_CRASHES;
    });
  }

  #isRemembered(at: Milliseconds): boolean {
    return at >= this.#options.collector.now - MEMORY_MILLISECONDS;
  }

  /** Describes the crashes under the tasks of a job: their evidence and age, the first crash first. */
  describe({ id }: DispatchJob): string {
    const { now } = this.#options.collector;
    return this.#crashesOf(id).flat()
      .sort((left, right) => left.at - right.at)
      .slice(0, MAXIMUM_DOUBTFUL_CRASHES)
      .map(({ at, evidence }) => {
        const weight = this.#unexplained.isNear(at) ? " unexplained" : "";
        return `${evidence}${weight} ${Math.round(now - at)}`;
      })
      .join(", ");
  }

  /**
   * Returns the position of a job among the suspects; the lowest runs first. Before its kind of work is under
   * quarantine, the job with the most crashes shows soonest which kind is to blame. Later, jobs that have
   * crashed no worker are the most likely to complete.
   */
  trialRank({ id, route }: DispatchJob): number {
    const weights = this.#crashesOf(id).map((crashes) => this.#weigh(crashes));
    return weights.reduce(
      (rank, { apart, total }) =>
        this.#isUnderQuarantine(route.name)
          ? rank + total
          : rank - (total - apart),
      0,
    );
  }

  /** Ends the quarantines that are due. */
  tick(): void {
    const { now } = this.#options.collector;
    this.#jobs.purge(now);
    this.#unexplained.purge();
    for (const route of this.#quarantines.keys()) {
      if (this.#isUnderQuarantine(route)) continue;
      this.#quarantines.delete(route);
      this.#revision += 1;
    }
  }

  #crashesOf(job: string): readonly (readonly TaskCrash[])[] {
    return [...this.#jobs.get(job)?.values() ?? []];
  }

  /** Counts the crashes that speak against a task. */
  #weigh(crashes: readonly TaskCrash[]) {
    let apart = 0;
    let total = 0;
    for (const { at, evidence } of crashes) {
      if (evidence === CrashEvidence.Beside) continue;
      if (!this.#isRemembered(at) || this.#unexplained.isNear(at)) continue;
      total += 1;
      if (evidence === CrashEvidence.Apart) apart += 1;
    }
    return { apart, total };
  }

  #isUnderQuarantine(route: string): boolean {
    const from = this.#options.collector.now - QUARANTINE_MILLISECONDS;
    const crashes = this.#quarantines.get(route) ?? [];
    return crashes.some((at) => at > from && !this.#unexplained.isNear(at));
  }

  #add(
    task: JobTaskReference,
    evidence: CrashEvidence,
    route: string | undefined,
  ): void {
    const { now } = this.#options.collector;
    this.#isAlertUntil = now + QUARANTINE_MILLISECONDS;
    this.#revision += 1;
    const tasks = this.#jobs.get(task.job) ?? new Map<string, TaskCrash[]>();
    const key = jobTaskKey(task);
    const earlier = tasks.get(key)?.filter(({ at }) => this.#isRemembered(at));
    tasks.set(key, [...earlier ?? [], { at: now, evidence }]);
    this.#jobs.set(now, task.job, tasks);
    if (evidence === CrashEvidence.Apart && route !== undefined) {
      this.#quarantine(route);
    }
  }

  #recordUnexplained(): void {
    this.#unexplained.record();
    this.#revision += 1;
    const { collector } = this.#options;
    const lifted = [...this.#quarantines.keys()]
      .filter((route) => !this.#isUnderQuarantine(route));
    collector.record(
      EventNumber.CrashUnexplained,
      "a worker crashed under no run that had just begun; crashes near it count against no task",
      { context: { liftedQuarantines: lifted.join(", ") } },
    );
  }

  #quarantine(route: string): void {
    const { collector } = this.#options;
    const from = collector.now - QUARANTINE_MILLISECONDS;
    const wasUnderQuarantine = this.#isUnderQuarantine(route);
    const recent = this.#quarantines.get(route)?.filter((at) => at > from);
    this.#quarantines.set(route, [...recent ?? [], collector.now]);
    if (wasUnderQuarantine || !this.#isUnderQuarantine(route)) return;
    collector.record(
      EventNumber.KindQuarantined,
      "a kind of work crashes workers; its jobs run apart",
      { severity: Severity.Warning, context: { route } },
    );
  }
}
