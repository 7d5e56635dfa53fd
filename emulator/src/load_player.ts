/**
 * Plays a load of best-effort jobs against the production state machines in virtual time and counts the
 * results that clients get. The faults are slow workers, lost sidecars and tasks that crash their workers; the
 * randomised runs cover faults of processes.
 */
import {
  assertNever,
  BestEffortJobState,
  type ClientAnswer,
  ClientAnswerKind,
  JobRequestKind,
  type Milliseconds,
  type ProcessEvent,
  type ProcessIdentifier,
  type WorkConfiguration,
  type WorkRoute,
} from "@eelgrassfront/model";
import { SeededRandom } from "./seeded_random.ts";
import type { WorkerObserver } from "./fake_worker.ts";
import { startOutages, type WorkerOutages } from "./worker_outages.ts";
import { DispatchSystem } from "./dispatch_system.ts";
import {
  type FleetSize,
  type WorkerKind,
  workerKindAt,
} from "./dispatch_vm.ts";
import {
  ArrivalGenerator,
  type ArrivingJob,
  type LoadKind,
  type LoadProfile,
  OBJECTIVE_ALLOWANCE_MILLISECONDS,
  OBJECTIVE_SLACK_FACTOR,
} from "./load_arrivals.ts";

/** A period in which every run that starts on some workers takes `factor` times as long. */
export interface SlowWorkers {
  readonly count: number;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  readonly factor: number;
}

/** A period in which some jobs of one kind crash each worker that starts one of their tasks. */
export interface CrashingJobs {
  readonly kind: string;
  readonly share: number;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  /** Time from the start of a task to the crash of its worker. */
  readonly crashMilliseconds: Milliseconds;
}

/** A load to play. */
export interface PlayedLoad extends LoadProfile {
  readonly slowWorkers?: readonly SlowWorkers[];
  /** Probability that a worker leaves a call unanswered and executes it seconds later; 0 by default. */
  readonly delayedCalls?: number;
  /** Sidecars that are killed and do not return; time since the start of the load. */
  readonly lostSidecars?: {
    readonly count: number;
    readonly at: Milliseconds;
  };
  /** Jobs that crash workers. They are not counted: they cannot be served. */
  readonly crashingJobs?: CrashingJobs;
  readonly outages?: WorkerOutages;
  readonly observer?: WorkerObserver;
  readonly onEvent?: (
    process: ProcessIdentifier,
    event: ProcessEvent,
    at: Milliseconds,
  ) => void;
  /** Called with each answer to a counted job. */
  readonly onAnswer?: (
    answer: ClientAnswer,
    job: ArrivingJob,
    elapsed: Milliseconds,
  ) => void;
  /** Called with each answer to a job that crashes workers. */
  readonly onCrashingJobAnswer?: (
    answer: ClientAnswer,
    job: ArrivingJob,
    elapsed: Milliseconds,
  ) => void;
  /** Jobs that arrive earlier are not counted; time since the start of the load. */
  readonly countFrom?: Milliseconds;
  /** Size of the fleet; that of the users' smallest deployments by default. */
  readonly fleet?: FleetSize;
  /** Kinds of the workers, repeated over the fleet; workers of 36 cores by default. */
  readonly workerKinds?: readonly WorkerKind[];
}

/** Results of the jobs of one kind of work. */
export interface KindOutcome {
  readonly kind: string;
  submitted: number;
  inObjective: number;
  late: number;
  refused: number;
  failed: number;
  /** Total time that clients waited for refusals. */
  refusedWaitMilliseconds: Milliseconds;
}

/** Number of workers in the users' smallest deployments. */
export const WORKERS = 11;
export const SMALL_FLEET: FleetSize = {
  entries: 3,
  workers: WORKERS,
  zones: 3,
};
/** Capacity of each worker. Two thirds of the users' workers have 32 cores, one third 48 faster ones. */
export const WORKER_MILLICORES = 36_000;
const NO_OBSERVER: WorkerObserver = { onStart: () => {}, onEnd: () => {} };
/** Time before the first arrival, in which the fleet starts. */
export const START_MILLISECONDS: Milliseconds = 3_000;
/** Time after the last arrival in which all jobs are answered. */
export const DRAIN_MILLISECONDS: Milliseconds = 8_000;
const CLIENT_WAIT_MILLISECONDS: Milliseconds = 5_000;
/** A late answer still has some value up to this factor times the objective; a later one counts as failed. */
const LATE_FACTOR = 3;
const HOST = "checks.example";
/** Ends the content of jobs that crash their workers. */
const CRASH_MARK = " crash";
const CRASH_SEED_OFFSET = 4_000_037;

/** Plays a load and returns the results of each kind of work. */
export function playLoad(load: PlayedLoad): readonly KindOutcome[] {
  return new LoadPlayer(load).play();
}

/** Returns the share of all jobs that were answered within their objective; 1 without jobs. */
export function shareInObjective(outcomes: readonly KindOutcome[]): number {
  const submitted = outcomes.reduce(
    (sum, outcome) => sum + outcome.submitted,
    0,
  );
  const met = outcomes.reduce((sum, { inObjective }) => sum + inObjective, 0);
  return submitted === 0 ? 1 : met / submitted;
}

/** Sums the results of each kind of work over several runs. */
export function addOutcomes(
  runs: readonly (readonly KindOutcome[])[],
): readonly KindOutcome[] {
  const sums = new Map<string, KindOutcome>();
  for (const outcome of runs.flat()) {
    const sum = sums.get(outcome.kind) ?? createOutcome(outcome.kind);
    sums.set(outcome.kind, sum);
    sum.submitted += outcome.submitted;
    sum.inObjective += outcome.inObjective;
    sum.late += outcome.late;
    sum.refused += outcome.refused;
    sum.failed += outcome.failed;
    sum.refusedWaitMilliseconds += outcome.refusedWaitMilliseconds;
  }
  return [...sums.values()];
}

class LoadPlayer {
  readonly #load: PlayedLoad;
  readonly #system: DispatchSystem;
  readonly #outcomes: Map<string, KindOutcome>;
  readonly #crashRandom: SeededRandom;

  constructor(load: PlayedLoad) {
    this.#load = load;
    this.#crashRandom = new SeededRandom(load.seed + CRASH_SEED_OFFSET);
    this.#outcomes = createOutcomes(load.kinds);
    const { fleet = SMALL_FLEET, observer = NO_OBSERVER } = load;
    const { crashingJobs, onEvent, workerKinds = [] } = load;
    this.#system = new DispatchSystem({
      seed: load.seed,
      fleet,
      capacityMillicores: WORKER_MILLICORES,
      workerKinds,
      workerLabels: Array.from({ length: fleet.workers }, (_, index) => {
        const kind = workerKindAt(workerKinds, index);
        return kind === undefined ? [] : [kind.label];
      }),
      observer,
      onEvent: (process, event) =>
        onEvent?.(process, event, this.#system.time.now),
      runMilliseconds: Number.parseFloat,
      crashMilliseconds: (content) =>
        content.endsWith(CRASH_MARK)
          ? crashingJobs?.crashMilliseconds
          : undefined,
    });
  }

  play(): readonly KindOutcome[] {
    const { time } = this.#system;
    const { kinds, durationMilliseconds, slowWorkers = [] } = this.#load;
    this.#system.publish(configurationOf(kinds));
    new ArrivalGenerator({
      load: this.#load,
      time,
      startMilliseconds: START_MILLISECONDS,
      onArrival: (job) => this.#submit(job),
    }).start();
    for (const slow of slowWorkers) this.#slowDown(slow);
    time.after(START_MILLISECONDS, () => this.#delayCalls());
    this.#loseSidecars();
    this.#startOutages();
    this.#system.runUntil(
      START_MILLISECONDS + durationMilliseconds + DRAIN_MILLISECONDS,
    );
    return [...this.#outcomes.values()];
  }

  #delayCalls(): void {
    const { delayedCalls = 0 } = this.#load;
    for (const { worker } of this.#system.sidecars) {
      if (worker === undefined) continue;
      worker.faults = { ...worker.faults, delayedCalls };
    }
  }

  #loseSidecars(): void {
    const { lostSidecars: lost } = this.#load;
    if (lost === undefined) return;
    const { time, sidecars } = this.#system;
    time.after(START_MILLISECONDS + lost.at, () => {
      for (const vm of sidecars.slice(0, lost.count)) this.#system.kill(vm);
    });
  }

  #startOutages(): void {
    const { outages, seed, durationMilliseconds: until } = this.#load;
    if (outages === undefined) return;
    const system = this.#system;
    system.time.after(
      START_MILLISECONDS,
      () => startOutages({ system, outages, seed, until }),
    );
  }

  #slowDown({ count, from, until, factor }: SlowWorkers): void {
    const { time, sidecars } = this.#system;
    for (const { worker } of sidecars.slice(0, count)) {
      if (worker === undefined) continue;
      time.after(START_MILLISECONDS + from, () => worker.slowdown = factor);
      time.after(START_MILLISECONDS + until, () => worker.slowdown = 1);
    }
  }

  #isCrashing({ kind, at }: ArrivingJob): boolean {
    const { crashingJobs: crashing } = this.#load;
    return crashing !== undefined && kind.name === crashing.kind &&
      at >= crashing.from && at < crashing.until &&
      this.#crashRandom.happens(crashing.share);
  }

  #submit(job: ArrivingJob): void {
    const { kind, number, runMilliseconds, objectiveMilliseconds } = job;
    const { entries, time } = this.#system;
    const outcome = this.#outcomes.get(kind.name);
    const entry = entries[Math.floor(job.entry * entries.length)];
    if (entry === undefined || outcome === undefined) return;
    const { countFrom = 0, onAnswer, onCrashingJobAnswer } = this.#load;
    const isCrashing = this.#isCrashing(job);
    const isCounted = job.at >= countFrom && !isCrashing;
    if (isCounted) outcome.submitted += 1;
    const step = {
      taskCount: job.tasks,
      resources: {
        processorMillicores: job.millicores,
        memoryMegabytes: 64,
        accelerators: 0,
      },
      estimatedMilliseconds: job.estimatedMilliseconds,
      dependsOn: [],
    };
    const sentAt = time.now;
    this.#system.submit(
      entry,
      { host: HOST, path: `${requestPrefixOf(kind)}job${number}` },
      {
        kind: JobRequestKind.Runnable,
        job: {
          content: `${runMilliseconds}${isCrashing ? CRASH_MARK : ""}`,
          steps: [step],
        },
      },
      CLIENT_WAIT_MILLISECONDS,
      (answer) => {
        const elapsed = time.now - sentAt;
        if (isCrashing) onCrashingJobAnswer?.(answer, job, elapsed);
        if (!isCounted) return;
        countAnswer(outcome, answer, elapsed, objectiveMilliseconds);
        onAnswer?.(answer, job, elapsed);
      },
    );
  }
}

/** Creates empty results for each kind of work. */
export function createOutcomes(
  kinds: readonly LoadKind[],
): Map<string, KindOutcome> {
  return new Map(kinds.map(({ name }) => [name, createOutcome(name)]));
}

/** Counts a completed job as within its objective, late or failed. */
export function countCompleted(
  outcome: KindOutcome,
  elapsed: Milliseconds,
  objective: Milliseconds,
): void {
  if (elapsed <= objective) outcome.inObjective += 1;
  else if (elapsed <= LATE_FACTOR * objective) outcome.late += 1;
  else outcome.failed += 1;
}

/** Counts a refused job and the time that its client waited. */
export function countRefused(
  outcome: KindOutcome,
  elapsed: Milliseconds,
): void {
  outcome.refused += 1;
  outcome.refusedWaitMilliseconds += elapsed;
}

function createOutcome(kind: string): KindOutcome {
  return {
    kind,
    submitted: 0,
    inObjective: 0,
    late: 0,
    refused: 0,
    failed: 0,
    refusedWaitMilliseconds: 0,
  };
}

/** Counts the answer to a job. */
export function countAnswer(
  outcome: KindOutcome,
  answer: ClientAnswer,
  elapsed: Milliseconds,
  objective: Milliseconds,
): void {
  switch (answer.kind) {
    case ClientAnswerKind.Ended:
      if (answer.state === BestEffortJobState.Completed) {
        countCompleted(outcome, elapsed, objective);
      } else outcome.failed += 1;
      return;
    case ClientAnswerKind.Refused:
      countRefused(outcome, elapsed);
      return;
    case ClientAnswerKind.GivenUp:
    case ClientAnswerKind.Cancelled:
    case ClientAnswerKind.Malformed:
    case ClientAnswerKind.NoSuchJob:
    case ClientAnswerKind.NoSuchRoute:
    case ClientAnswerKind.Pending:
    case ClientAnswerKind.State:
      outcome.failed += 1;
      return;
    default:
      assertNever(answer);
  }
}

function configurationOf(kinds: readonly LoadKind[]): WorkConfiguration {
  const routes = kinds.map((kind): WorkRoute => ({
    name: kind.name,
    host: HOST,
    requestPrefix: requestPrefixOf(kind),
    service: "service",
    priority: kind.priority,
    maximumAttempts: 3,
    slackFactor: OBJECTIVE_SLACK_FACTOR,
    latencyAllowanceMilliseconds: OBJECTIVE_ALLOWANCE_MILLISECONDS,
  }));
  return { version: 1, routes };
}

function requestPrefixOf({ name }: LoadKind): string {
  return `/${name}/`;
}
