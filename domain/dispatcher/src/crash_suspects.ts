/**
 * Tasks and kinds of work that may crash the workers that start them. A task that was started shortly before a
 * crash is a suspect: from then on its job runs apart, on a few workers that all entries choose alike, where
 * no other job starts beside it. If it crashes such a worker too, it is given up. A task that crashes a worker
 * where it ran apart also puts its kind of work under quarantine: for some seconds all its jobs run apart, so
 * that further jobs of the kind take only these few workers from others.
 *
 * Workers also crash for other reasons, several at once in an outage. What a crash says of a task:
 *
 * | the task at the crashed worker                                   | counts as                   |
 * | ---------------------------------------------------------------- | --------------------------- |
 * | nothing shows its start                                          | nothing                     |
 * | its start is only possible, or another one is the likelier cause | a crash beside it           |
 * | its start is likely, but the worker had not confirmed it         | an unconfirmed crash        |
 * | it began long before, and none had just begun                    | a late crash                |
 * | it had just begun, beside work of a kind that crashes workers    | a late crash                |
 * | it had just begun                                                | a suspected crash           |
 * | it ran apart, and had just begun or none had                     | a suspected one, apart      |
 * | one of the last two, in what may be an outage                    | a doubtful crash            |
 *
 * A job runs apart after an unconfirmed, late or suspected crash, or two doubtful ones. It ends after two suspected
 * crashes of a task, one of them apart; after three if workers also crash without a run that explains it. If other
 * jobs are suspects of crashes near these, the verdict is put off until the crashes of an outage are known, and the
 * job is not started meanwhile. It also ends after two unconfirmed crashes of a task, or five of any of these kinds.
 *
 * A job that ends this way is given up, without a claim that it cannot be done. It fails only if two of its task's
 * suspected crashes prove that: at each of these workers, which had confirmed the run, no other job ran. Nothing else
 * shows that a task crashes workers, however near in time the crashes are.
 */
import {
  assertNever,
  CrashProof,
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
import {
  type CrashCandidate,
  CrashHistory,
  MEMORY_MILLISECONDS,
  OUTAGE_MILLISECONDS,
} from "./crash_history.ts";
import type { DispatchJob } from "./dispatch_job.ts";

/** How a crash relates to a task. */
export enum CrashEvidence {
  /** Another task is the more likely cause. */
  Beside = "beside",
  /** The worker had not confirmed the run. */
  Unconfirmed = "unconfirmed",
  /** The task was among those that ran when none had just started. */
  Late = "late",
  /** The task was among those that had just started. */
  Suspected = "suspected",
  /** The task ran apart. */
  Apart = "apart",
}

/** What the crashes under the tasks of a job lead to. */
export enum CrashVerdict {
  /** The job may run. */
  None = "none",
  /** The job may have crashed too many workers; it does not run until that is known. */
  Pending = "pending",
  /** A task of the job crashes workers, as those that ran nothing else prove. */
  Failed = "failed",
  /** Too many workers have crashed under a task; the cause is not proven. */
  GivenUp = "given-up",
}

const MAXIMUM_JOBS = 10_000;
/** Crashes that keep a kind of work under quarantine; a few show it. */
const MAXIMUM_QUARANTINE_CRASHES = 20;
/** Time without a crash of a kind of work after which its jobs run among others again. */
const QUARANTINE_MILLISECONDS: Milliseconds = 5_000;
/** Suspected crashes of a task after which it is given up if it ran apart in one of them. */
const MAXIMUM_CRASHES = 2;
/** The same while workers crash without a run that explains it, so that a task may meet two such crashes. */
const MAXIMUM_CRASHES_AMONG_UNEXPLAINED = 3;
/** Doubtful crashes of a job after which it runs apart. */
const MAXIMUM_DOUBTFUL_STARTS = 2;
/** Crashes of workers that ran nothing but a task after which it is known to crash workers. */
const MINIMUM_PROVING_CRASHES = 2;
/** Crashes of a task after which it is given up, though no worker had confirmed its run. */
const MAXIMUM_UNCONFIRMED_CRASHES = 2;
/** Crashes under a task after which it is given up in any case. */
const MAXIMUM_DOUBTFUL_CRASHES = 5;

/** A crash of which a job is a suspect. */
interface SuspectedCrash extends CrashCandidate {
  readonly at: Milliseconds;
}

/** What is known of a crash under a task. */
export interface CrashFinding {
  readonly evidence: CrashEvidence;
  /** Whether the worker had confirmed the run, and ran no other job. */
  readonly isAlone: boolean;
}

interface TaskCrash extends SuspectedCrash {
  readonly sidecar: string;
  evidence: CrashEvidence;
  readonly isAlone: boolean;
  /** Whether workers crashed at the time under no run that explains it. */
  readonly isAmongUnexplained: boolean;
}

/** The crashes that speak against a task. */
interface CrashWeight {
  /** Suspected crashes of workers that ran no other job. */
  readonly alone: number;
  readonly apart: number;
  /** Suspected crashes, those apart included. */
  readonly suspected: number;
  readonly unconfirmed: number;
  readonly late: number;
  /** Times of the crashes that may be of an outage. */
  readonly doubtful: readonly Milliseconds[];
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
  /** The crashes that keep a kind of work under quarantine. */
  readonly #quarantines = new Map<string, readonly SuspectedCrash[]>();
  readonly #history: CrashHistory;
  #isAlertUntil: Milliseconds = 0;
  /** Until when reports may change what the latest crash says. */
  #isOpenUntil: Milliseconds = 0;
  #revision = 0;

  constructor(options: CrashSuspectsOptions) {
    this.#options = options;
    this.#history = new CrashHistory(options);
  }

  /** Rises whenever a job may have become a suspect or no longer be one. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether a worker has crashed recently, so that suspects may wait for a worker. */
  get isAlert(): boolean {
    return this.#options.collector.now < this.#isAlertUntil;
  }

  /** Records a crash of a sidecar's worker under a task of this entry. */
  record(
    sidecar: string,
    job: DispatchJob,
    task: JobTaskReference,
    finding: CrashFinding,
  ): void {
    this.#add(sidecar, task, finding, job.route.name);
  }

  /** Clears a task that has run apart and did not crash its worker; its crashes still count. */
  clear(task: JobTaskReference): void {
    const crashes = this.#jobs.get(task.job)?.get(jobTaskKey(task)) ?? [];
    for (const crash of crashes) {
      if (!isSuspicion(crash.evidence)) continue;
      crash.evidence = CrashEvidence.Beside;
      this.#revision += 1;
    }
  }

  /**
   * Records a crash that a sidecar reports, by the suspects among the tasks of other entries, whose jobs may be
   * submitted to this one. A report without suspects says that no run there explains the crash.
   */
  recordReport(sidecar: string, suspects: readonly CrashSuspect[]): void {
    if (suspects.length === 0) this.#recordUnexplained(sidecar);
    for (const suspect of suspects) {
      const { task, route, workKind, proof } = suspect;
      const evidence = route === undefined
        ? CrashEvidence.Suspected
        : CrashEvidence.Apart;
      const finding = findingOf(evidence, proof);
      this.#add(sidecar, task, finding, route ?? workKind);
    }
  }

  /** Whether a job runs apart. */
  isSuspect({ id, route }: DispatchJob): boolean {
    if (this.#isUnderQuarantine(route.name)) return true;
    const weights = this.#crashesOf(id).map((crashes) => this.#weigh(crashes));
    const doubtful = new Set(weights.flatMap((weight) => weight.doubtful));
    return weights.some(({ suspected, unconfirmed, late }) =>
      suspected + unconfirmed + late > 0
    ) || doubtful.size >= MAXIMUM_DOUBTFUL_STARTS;
  }

  /** Returns what the crashes under the tasks of a job lead to. */
  verdictOn({ id }: DispatchJob): CrashVerdict {
    const tasks = this.#crashesOf(id);
    const blamed = tasks.filter((crashes) => this.#isBlamed(crashes));
    if (blamed.some((crashes) => this.#isOutagePossible(crashes))) {
      return CrashVerdict.Pending;
    }
    const isProven = blamed.some((crashes) =>
      this.#weigh(crashes).alone >= MINIMUM_PROVING_CRASHES
    );
    if (isProven) return CrashVerdict.Failed;
    const isGivenUp = blamed.length > 0 ||
      tasks.some((crashes) => this.#isExhausted(crashes));
    return isGivenUp ? CrashVerdict.GivenUp : CrashVerdict.None;
  }

  #isExhausted(crashes: readonly TaskCrash[]): boolean {
    return crashes.length >= MAXIMUM_DOUBTFUL_CRASHES ||
      this.#weigh(crashes).unconfirmed >= MAXIMUM_UNCONFIRMED_CRASHES;
  }

  #isBlamed(crashes: readonly TaskCrash[]): boolean {
    const { apart, suspected } = this.#weigh(crashes);
    const isAmongUnexplained = this.#history.hasUnexplained ||
      crashes.some((crash) => crash.isAmongUnexplained);
    const maximum = isAmongUnexplained
      ? MAXIMUM_CRASHES_AMONG_UNEXPLAINED
      : MAXIMUM_CRASHES;
    return apart > 0 && suspected >= maximum;
  }

  /** Whether an outage of which not all crashes are reported yet may have caused crashes under a task. */
  #isOutagePossible(crashes: readonly TaskCrash[]): boolean {
    const { now } = this.#options.collector;
    const last = Math.max(...crashes.map(({ at }) => at));
    return now <= last + OUTAGE_MILLISECONDS &&
      crashes.some(({ job, at }) => this.#history.hasOtherSuspects(job, at));
  }

  #isRemembered(at: Milliseconds): boolean {
    return at >= this.#options.collector.now - MEMORY_MILLISECONDS;
  }

  /** Describes the crashes under the tasks of a job: evidence, sidecar and age of each, the first crash first. */
  describe({ id }: DispatchJob): string {
    const { now } = this.#options.collector;
    return this.#crashesOf(id).flat()
      .sort((left, right) => left.at - right.at)
      .slice(0, MAXIMUM_DOUBTFUL_CRASHES)
      .map((crash) => {
        const { at, evidence, isAlone, sidecar } = crash;
        const alone = isAlone ? " alone" : "";
        const outage = this.#history.isOutage(crash, at) ? " outage" : "";
        return `${evidence}${alone}${outage} ${sidecar} ${
          Math.round(now - at)
        }`;
      })
      .join(", ");
  }

  /**
   * Returns the position of a job among the suspects; the lowest runs first. Before its kind of work is under
   * quarantine, the job with the most crashes shows soonest which kind is to blame. Later, jobs that have
   * crashed no worker are the most likely to complete.
   */
  trialRank({ id, route }: DispatchJob): number {
    const isUnderQuarantine = this.#isUnderQuarantine(route.name);
    return this.#crashesOf(id).reduce((rank, crashes) => {
      const { apart, suspected } = this.#weigh(crashes);
      return isUnderQuarantine ? rank + suspected : rank - (suspected - apart);
    }, 0);
  }

  /** Ends the quarantines that are due. */
  tick(): void {
    const { now } = this.#options.collector;
    this.#jobs.purge(now);
    this.#history.purge();
    if (now <= this.#isOpenUntil) this.#revision += 1;
    for (const route of this.#quarantines.keys()) {
      if (this.#crashesApart(route).length > 0) continue;
      this.#quarantines.delete(route);
      this.#revision += 1;
    }
  }

  #crashesOf(job: string): readonly (readonly TaskCrash[])[] {
    return [...this.#jobs.get(job)?.values() ?? []];
  }

  #weigh(crashes: readonly TaskCrash[]): CrashWeight {
    let alone = 0;
    let apart = 0;
    let suspected = 0;
    let unconfirmed = 0;
    let late = 0;
    const doubtful: Milliseconds[] = [];
    for (const crash of crashes) {
      const { at, evidence, isAlone } = crash;
      if (!this.#isRemembered(at)) continue;
      switch (evidence) {
        case CrashEvidence.Beside:
          break;
        case CrashEvidence.Unconfirmed:
          unconfirmed += 1;
          break;
        case CrashEvidence.Late:
          late += 1;
          break;
        case CrashEvidence.Suspected:
        case CrashEvidence.Apart:
          if (this.#history.isOutage(crash, at)) doubtful.push(at);
          else if (this.#isOtherKindToBlame(crash)) late += 1;
          else {
            suspected += 1;
            if (evidence === CrashEvidence.Apart) apart += 1;
            if (isAlone) alone += 1;
          }
          break;
        default:
          assertNever(evidence);
      }
    }
    return { alone, apart, suspected, unconfirmed, late, doubtful };
  }

  /** Whether a kind of work, other than its own, that crashed workers apart may have caused a crash. */
  #isOtherKindToBlame(crash: TaskCrash): boolean {
    return this.#history.otherKinds(crash, crash.at)
      .some((kind) => this.#crashesApart(kind).length > 0);
  }

  #isUnderQuarantine(route: string): boolean {
    return this.#crashesApart(route).some((crash) =>
      !this.#history.isOutage(crash, crash.at)
    );
  }

  /** The crashes of the last seconds under work of a kind that ran apart. */
  #crashesApart(route: string): readonly SuspectedCrash[] {
    const from = this.#options.collector.now - QUARANTINE_MILLISECONDS;
    return this.#quarantines.get(route)?.filter(({ at }) => at > from) ?? [];
  }

  #add(
    sidecar: string,
    task: JobTaskReference,
    { evidence, isAlone }: CrashFinding,
    workKind: string | undefined,
  ): void {
    const { now } = this.#options.collector;
    const { job } = task;
    this.#isAlertUntil = now + QUARANTINE_MILLISECONDS;
    this.#isOpenUntil = now + OUTAGE_MILLISECONDS;
    this.#revision += 1;
    const tasks = this.#jobs.get(job) ?? new Map<string, TaskCrash[]>();
    const key = jobTaskKey(task);
    const earlier = tasks.get(key)?.filter(({ at }) => this.#isRemembered(at));
    const isAmongUnexplained = this.#history.hasUnexplained;
    const crash = {
      at: now,
      job,
      workKind,
      sidecar,
      evidence,
      isAlone,
      isAmongUnexplained,
    };
    tasks.set(key, [...earlier ?? [], crash]);
    this.#jobs.set(now, job, tasks);
    if (evidence === CrashEvidence.Beside) return;
    this.#history.recordSuspect(sidecar, crash);
    if (workKind !== undefined && this.#isQuarantineReason(crash, earlier)) {
      this.#quarantine(workKind, crash);
    }
  }

  /** Whether a crash shows more than an outage would: the task ran apart, or it is the second unconfirmed one. */
  #isQuarantineReason(
    { evidence }: TaskCrash,
    earlier: readonly TaskCrash[] = [],
  ): boolean {
    switch (evidence) {
      case CrashEvidence.Apart:
        return true;
      case CrashEvidence.Unconfirmed:
        return this.#weigh(earlier).unconfirmed > 0;
      case CrashEvidence.Beside:
      case CrashEvidence.Late:
      case CrashEvidence.Suspected:
        return false;
      default:
        return assertNever(evidence);
    }
  }

  #recordUnexplained(sidecar: string): void {
    const { collector } = this.#options;
    const routes = [...this.#quarantines.keys()]
      .filter((route) => this.#isUnderQuarantine(route));
    this.#history.recordUnexplained(sidecar);
    this.#revision += 1;
    const lifted = routes.filter((route) => !this.#isUnderQuarantine(route));
    collector.record(
      EventNumber.CrashUnexplained,
      "a worker crashed under no run that had just begun; crashes near it count against no task",
      { context: { sidecar, liftedQuarantines: lifted.join(", ") } },
    );
  }

  #quarantine(route: string, crash: SuspectedCrash): void {
    const { collector } = this.#options;
    const wasUnderQuarantine = this.#isUnderQuarantine(route);
    this.#quarantines.set(
      route,
      [...this.#crashesApart(route), crash].slice(-MAXIMUM_QUARANTINE_CRASHES),
    );
    if (wasUnderQuarantine || !this.#isUnderQuarantine(route)) return;
    collector.record(
      EventNumber.KindQuarantined,
      "a kind of work crashes workers; its jobs run apart",
      { severity: Severity.Warning, context: { route } },
    );
  }
}

/** What a crash says of a task by what is known of its run; the evidence is that of a confirmed run. */
export function findingOf(
  evidence: CrashEvidence,
  proof: CrashProof | undefined,
): CrashFinding {
  switch (proof) {
    case CrashProof.Unconfirmed:
      return { evidence: CrashEvidence.Unconfirmed, isAlone: false };
    case CrashProof.Alone:
      return { evidence, isAlone: true };
    case CrashProof.Shared:
    case undefined:
      return { evidence, isAlone: false };
    default:
      return assertNever(proof);
  }
}

/** Whether a task that later runs apart without a crash is cleared of it. */
function isSuspicion(evidence: CrashEvidence): boolean {
  switch (evidence) {
    case CrashEvidence.Unconfirmed:
    case CrashEvidence.Late:
    case CrashEvidence.Suspected:
      return true;
    case CrashEvidence.Beside:
    case CrashEvidence.Apart:
      return false;
    default:
      return assertNever(evidence);
  }
}
