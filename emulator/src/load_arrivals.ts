/**
 * Generates the jobs of a load. Each kind of work has exponentially distributed gaps between its jobs, at a
 * higher rate during a burst, and uniformly distributed sizes and run times around its means. The same load
 * gives the same jobs to every scheduler.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { SeededRandom } from "./seeded_random.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** A kind of work with its arrival rate and mean sizes. */
export interface LoadKind {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly jobsPerSecond: number;
  readonly meanTasks: number;
  readonly meanRunMilliseconds: Milliseconds;
}

/** A period in which jobs of one kind arrive `factor` times as often. */
export interface LoadBurst {
  readonly kind: string;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  readonly factor: number;
}

/** The arrivals of a load. */
export interface LoadProfile {
  readonly seed: number;
  readonly durationMilliseconds: Milliseconds;
  readonly kinds: readonly LoadKind[];
  readonly bursts?: readonly LoadBurst[];
}

/** A generated job. */
export interface ArrivingJob {
  readonly kind: LoadKind;
  /** Sequence number of the job in its load, from 1. */
  readonly number: number;
  /** Arrival time since the start of the load. */
  readonly at: Milliseconds;
  /** Selects the entry: position in the list of entries, from 0 up to 1. */
  readonly entry: number;
  readonly tasks: number;
  readonly millicores: number;
  readonly runMilliseconds: Milliseconds;
  /** The run time that the client declares, off by up to half of the true run time. */
  readonly estimatedMilliseconds: Milliseconds;
  /** Latency objective of the client. */
  readonly objectiveMilliseconds: Milliseconds;
}

/** Options of an `ArrivalGenerator`. */
export interface ArrivalGeneratorOptions {
  readonly load: LoadProfile;
  readonly time: VirtualTime;
  /** Time before the load, in which the fleet starts. */
  readonly startMilliseconds: Milliseconds;
  readonly onArrival: (job: ArrivingJob) => void;
}

/** The users' latency objective is this factor times the run time, plus the allowance. */
export const OBJECTIVE_SLACK_FACTOR = 1.6;
export const OBJECTIVE_ALLOWANCE_MILLISECONDS: Milliseconds = 60;
const TASK_MILLICORES = 3_100;

/** Emits the jobs of a load in virtual time. */
export class ArrivalGenerator {
  readonly #options: ArrivalGeneratorOptions;
  readonly #random: SeededRandom;
  #jobs = 0;

  constructor(options: ArrivalGeneratorOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.load.seed + 2_000_003);
  }

  /** Schedules the first arrival of each kind of work. */
  start(): void {
    const { load, time, startMilliseconds } = this.#options;
    for (const kind of load.kinds) {
      time.after(startMilliseconds, () => this.#emitJob(kind));
    }
  }

  #emitJob(kind: LoadKind): void {
    const { load, time, startMilliseconds, onArrival } = this.#options;
    const at = time.now - startMilliseconds;
    if (at >= load.durationMilliseconds) return;
    onArrival(this.#createJob(kind, at));
    const rate = kind.jobsPerSecond * this.#burstFactorAt(kind, at);
    const gap = -Math.log(1 - this.#random.next()) * 1_000 / rate;
    time.after(gap, () => this.#emitJob(kind));
  }

  #createJob(kind: LoadKind, at: Milliseconds): ArrivingJob {
    this.#jobs += 1;
    const entry = this.#random.next();
    const runMilliseconds = this.#drawAround(kind.meanRunMilliseconds);
    const tasks = Math.max(1, Math.round(this.#drawAround(kind.meanTasks)));
    const millicores = Math.round(this.#drawAround(TASK_MILLICORES));
    return {
      kind,
      number: this.#jobs,
      at,
      entry,
      tasks,
      millicores,
      runMilliseconds,
      estimatedMilliseconds: this.#drawAround(runMilliseconds),
      objectiveMilliseconds: OBJECTIVE_SLACK_FACTOR * runMilliseconds +
        OBJECTIVE_ALLOWANCE_MILLISECONDS,
    };
  }

  #burstFactorAt({ name }: LoadKind, at: Milliseconds): number {
    const { bursts = [] } = this.#options.load;
    return bursts
      .filter(({ kind, from, until }) =>
        kind === name && at >= from && at < until
      )
      .reduce((product, { factor }) => product * factor, 1);
  }

  /** Draws a number between 0.5 and 1.5 times the mean, uniformly. */
  #drawAround(mean: number): number {
    return mean * this.#random.between(0.5, 1.5);
  }
}
