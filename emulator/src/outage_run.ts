/**
 * Plays the users' load while outages crash workers, alone or beside jobs that crash workers themselves, and
 * checks which jobs are shown as failed and how often a task that crashes workers is started. A violation
 * comes with the crashes around it.
 */
import {
  type ClientAnswer,
  EventNumber,
  jobTaskKey,
  type Milliseconds,
  type ProcessEvent,
  type ProcessIdentifier,
  type RunReference,
} from "@eelgrassfront/model";
import { increment, isShownAsFailed, nameOfAnswer } from "./answer_counts.ts";
import type { FleetSize } from "./dispatch_vm.ts";
import type { FakeWorker } from "./fake_worker.ts";
import type { ArrivingJob } from "./load_arrivals.ts";
import {
  countAnswer,
  type CrashingJobs,
  createOutcomes,
  type KindOutcome,
  playLoad,
  START_MILLISECONDS,
  WORKERS,
} from "./load_player.ts";
import { kindsAtUtilisation, LOAD_MILLISECONDS } from "./user_loads.ts";
import type { WorkerOutages } from "./worker_outages.ts";

/** The rules that a run checks. */
export enum OutageRule {
  /** A job that crashes no worker is not shown as failed. */
  FalseFailure = "shown as failed, though it crashes no worker",
  /** A job is shown as failed only once two workers have ended under one of its tasks, whatever ended them. */
  UnprovenFailure =
    "shown as failed, though fewer than two workers ended under a task",
  /** A task that crashes workers is not started three times more once three workers have crashed under it. */
  Budget = "started too often after crashes",
}

/** Outages, with the name that reports show. */
export interface NamedOutages {
  readonly name: string;
  readonly outages: WorkerOutages;
}

/** A breach of a rule. */
export interface OutageViolation {
  readonly rule: string;
  readonly at: Milliseconds;
  readonly detail: string;
  /** What happened to the job, and the crashes shortly before, one a line. */
  readonly trace: readonly string[];
}

/** Results of one run, or of several with one seed. */
export interface OutageSummary {
  readonly seed: number;
  readonly starts: number;
  /** Number of answers to jobs that crash no worker, by kind and state or reason. */
  readonly answers: ReadonlyMap<string, number>;
  readonly violations: readonly OutageViolation[];
}

/** Results of one run. */
export interface OutageReport extends OutageSummary {
  readonly outcomes: readonly KindOutcome[];
  /** Results of the jobs that arrived in the seconds after an outage. */
  readonly outcomesInOutages: readonly KindOutcome[];
}

interface TraceLine {
  readonly at: Milliseconds;
  readonly isCrash: boolean;
  readonly text: string;
}

/** Options of a run. */
export interface OutageRunOptions {
  readonly seed: number;
  readonly outages: WorkerOutages;
  /** Time after which some scans crash their workers; none of them does by default. */
  readonly deadlyMilliseconds?: Milliseconds;
  readonly durationMilliseconds?: Milliseconds;
}

const SECOND = 1_000;
const FLEET: FleetSize = { entries: 4, workers: WORKERS, zones: 4 };
/** Duration of the loads in `runAllOutages`. */
export const LONG_MILLISECONDS: Milliseconds = 20 * SECOND;
const KINDS = kindsAtUtilisation(0.5);
/** Time after an outage in which jobs are counted apart. */
const OUTAGE_MILLISECONDS: Milliseconds = 2 * SECOND;
const DEADLY_SHARE = 0.1;
/** Crashes under a task without which its job may not be shown as failed. */
const MINIMUM_FAILURE_CRASHES = 2;
/** Crashes under a task from which on its starts are counted. */
const MAXIMUM_CRASHES = 3;
/** Number of such starts that is a violation. */
const MAXIMUM_LATE_STARTS = 3;
/** Time before a violation whose crashes are part of its trace. */
const TRACED_MILLISECONDS: Milliseconds = 500;
const TRACED_EVENTS: ReadonlySet<EventNumber> = new Set([
  EventNumber.JobEnded,
  EventNumber.TaskSuspected,
  EventNumber.KindQuarantined,
  EventNumber.WorkerCrashed,
  EventNumber.WorkerLost,
  EventNumber.RunSettled,
]);

/** Half of the workers and one more crash at the same moment. */
export const TOGETHER: NamedOutages = {
  name: "six workers at once",
  outages: {
    workers: 6,
    intervalMilliseconds: 6 * SECOND,
    jitterMilliseconds: 1 * SECOND,
    spreadMilliseconds: 0,
    silentCrashes: 0,
  },
};

/** The same workers crash shortly after each other. */
export const STAGGERED: NamedOutages = {
  name: "six workers within 40 ms",
  outages: { ...TOGETHER.outages, spreadMilliseconds: 40 },
};

/** Workers crash one at a time. */
export const SINGLE: NamedOutages = {
  name: "one worker every 1.5 s",
  outages: {
    workers: 1,
    intervalMilliseconds: 1.5 * SECOND,
    jitterMilliseconds: 1.5 * SECOND,
    spreadMilliseconds: 0,
    silentCrashes: 0,
  },
};

/** Half of the crashes break no connection. */
export const SILENT: NamedOutages = {
  name: "six workers within 40 ms, half of them silent",
  outages: { ...STAGGERED.outages, silentCrashes: 0.5 },
};

/** All outages. */
export const OUTAGES: readonly NamedOutages[] = [
  TOGETHER,
  STAGGERED,
  SINGLE,
  SILENT,
];

/** Times after which deadly tasks crash their workers. */
export const DEADLY_MILLISECONDS: readonly Milliseconds[] = [5, 40];

/** Plays the load once. */
export function runOutages(options: OutageRunOptions): OutageReport {
  return new OutageRun(options).run();
}

/** Plays the load with each kind of outage, alone and beside deadly tasks, and sums the results up. */
export function runAllOutages(seed: number): OutageSummary {
  const answers = new Map<string, number>();
  const violations: OutageViolation[] = [];
  let starts = 0;
  for (const { name, outages } of OUTAGES) {
    for (const deadlyMilliseconds of [undefined, ...DEADLY_MILLISECONDS]) {
      const report = runOutages({
        seed,
        outages,
        durationMilliseconds: LONG_MILLISECONDS,
        ...(deadlyMilliseconds === undefined ? {} : { deadlyMilliseconds }),
      });
      starts += report.starts;
      for (const [kind, count] of report.answers) {
        answers.set(kind, (answers.get(kind) ?? 0) + count);
      }
      const scenario = deadlyMilliseconds === undefined
        ? name
        : `${name}, deadly tasks after ${deadlyMilliseconds} ms`;
      for (const { rule, at, detail, trace } of report.violations) {
        const lines = [detail, ...trace].join("\n    ");
        violations.push({
          rule: `${scenario}: ${rule}`,
          at,
          detail: lines,
          trace,
        });
      }
    }
  }
  return { seed, starts, answers, violations };
}

class OutageRun {
  readonly #options: OutageRunOptions;
  readonly #answers = new Map<string, number>();
  readonly #violations: OutageViolation[] = [];
  readonly #trace: TraceLine[] = [];
  readonly #outcomesInOutages = createOutcomes(KINDS);
  /** Crashes of workers under each task, whatever their cause. */
  readonly #crashes = new Map<string, number>();
  /** The most crashes of workers under one task of each job. */
  readonly #jobCrashes = new Map<string, number>();
  /** Starts of each task after the maximum number of crashes. */
  readonly #lateStarts = new Map<string, number>();
  /** Tasks that have crashed a worker themselves. */
  readonly #deadlyTasks = new Set<string>();
  #starts = 0;
  #lastOutageAt = -Infinity;

  constructor(options: OutageRunOptions) {
    this.#options = options;
  }

  run(): OutageReport {
    const {
      seed,
      outages,
      deadlyMilliseconds,
      durationMilliseconds = LOAD_MILLISECONDS,
    } = this.#options;
    const outcomes = playLoad({
      seed,
      fleet: FLEET,
      durationMilliseconds,
      kinds: KINDS,
      ...(deadlyMilliseconds === undefined
        ? {}
        : { crashingJobs: deadlyScans(deadlyMilliseconds) }),
      outages: { ...outages, onCrash: (worker) => this.#onOutage(worker) },
      observer: {
        onStart: (worker, run) => this.#onStart(worker, run),
        onEnd: () => {},
        onCrash: (worker, run) => this.#onTaskCrash(worker, run),
      },
      onEvent: (process, event, at) => this.#onEvent(process, event, at),
      onAnswer: (answer, job, elapsed) => this.#onAnswer(answer, job, elapsed),
      onCrashingJobAnswer: (answer, job, elapsed) =>
        this.#checkProof(answer, job, elapsed),
    });
    return {
      seed,
      starts: this.#starts,
      answers: this.#answers,
      violations: this.#violations,
      outcomes,
      outcomesInOutages: [...this.#outcomesInOutages.values()],
    };
  }

  #onStart(worker: FakeWorker, { task }: RunReference): void {
    this.#starts += 1;
    const key = jobTaskKey(task);
    if ((this.#crashes.get(key) ?? 0) < MAXIMUM_CRASHES) return;
    const count = increment(this.#lateStarts, key);
    if (count < MAXIMUM_LATE_STARTS || !this.#deadlyTasks.has(key)) return;
    const at = worker.options.time.now;
    this.#violations.push({
      rule: OutageRule.Budget,
      at,
      detail: `${key}, start ${count} after ${MAXIMUM_CRASHES} crashes`,
      trace: this.#traceOf(task.job, at),
    });
  }

  #onTaskCrash(worker: FakeWorker, { task }: RunReference): void {
    this.#deadlyTasks.add(jobTaskKey(task));
    this.#onCrash(worker, `crashed by ${jobTaskKey(task)}`);
  }

  #onOutage(worker: FakeWorker): void {
    this.#lastOutageAt = worker.options.time.now;
    this.#onCrash(worker, "crashed by an outage");
  }

  #onCrash(worker: FakeWorker, cause: string): void {
    for (const { task } of worker.running) {
      const count = increment(this.#crashes, jobTaskKey(task));
      const most = Math.max(count, this.#jobCrashes.get(task.job) ?? 0);
      this.#jobCrashes.set(task.job, most);
    }
    const tasks = worker.running.map(({ task }) => jobTaskKey(task));
    const { id, time } = worker.options;
    const text = `${id} ${cause} under ${tasks.join(", ")}`;
    this.#trace.push({ at: time.now, isCrash: true, text });
  }

  #onEvent(
    process: ProcessIdentifier,
    { number, context }: ProcessEvent,
    at: Milliseconds,
  ): void {
    if (!TRACED_EVENTS.has(number)) return;
    const text = `${process} ${number} ${JSON.stringify(context)}`;
    this.#trace.push({ at, isCrash: false, text });
  }

  #onAnswer(
    answer: ClientAnswer,
    job: ArrivingJob,
    elapsed: Milliseconds,
  ): void {
    const at = START_MILLISECONDS + job.at;
    if (at < this.#lastOutageAt + OUTAGE_MILLISECONDS) {
      const outcome = this.#outcomesInOutages.get(job.kind.name);
      if (outcome !== undefined) {
        outcome.submitted += 1;
        countAnswer(outcome, answer, elapsed, job.objectiveMilliseconds);
      }
    }
    increment(this.#answers, nameOfAnswer(answer));
    if (!isShownAsFailed(answer)) return;
    this.#reportFailure(OutageRule.FalseFailure, job, elapsed);
    this.#checkProof(answer, job, elapsed);
  }

  /** Checks that a job which is shown as failed has met enough crashes, whether or not it crashes workers. */
  #checkProof(
    answer: ClientAnswer,
    job: ArrivingJob,
    elapsed: Milliseconds,
  ): void {
    if (!isShownAsFailed(answer)) return;
    const crashes = this.#jobCrashes.get(`job${job.number}`) ?? 0;
    if (crashes >= MINIMUM_FAILURE_CRASHES) return;
    this.#reportFailure(OutageRule.UnprovenFailure, job, elapsed);
  }

  #reportFailure(
    rule: OutageRule,
    { kind, number, at: arrivesAt }: ArrivingJob,
    elapsed: Milliseconds,
  ): void {
    const submittedAt = START_MILLISECONDS + arrivesAt;
    const at = submittedAt + elapsed;
    this.#violations.push({
      rule,
      at,
      detail: `${kind.name} ${number}, submitted at ${submittedAt.toFixed(1)}`,
      trace: this.#traceOf(`job${number}`, at),
    });
  }

  /** The lines that name a job, and the crashes shortly before a time. */
  #traceOf(job: string, until: Milliseconds): readonly string[] {
    const name = new RegExp(String.raw`\b${job}\b`);
    return this.#trace
      .filter(({ at, isCrash, text }) =>
        name.test(text) ||
        (isCrash && at >= until - TRACED_MILLISECONDS)
      )
      .map(({ at, text }) => `${at.toFixed(1)} ${text}`);
  }
}

function deadlyScans(crashMilliseconds: Milliseconds): CrashingJobs {
  return {
    kind: "scan",
    share: DEADLY_SHARE,
    from: 0,
    until: Infinity,
    crashMilliseconds,
  };
}
