/**
 * Generates the jobs of a load. Each kind of work has exponentially distributed gaps between its jobs, at a
 * higher rate during a burst or the peak of a wave, and uniformly distributed sizes and run times around its means.
 * The same load gives the same jobs to every scheduler.
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
  /** Value of a job to its client; absent where loads are judged by shares only. */
  readonly value?: JobValue;
}

/** Value of a job that ends within its objective, or later but within three times the objective. */
export interface JobValue {
  readonly inTime: number;
  readonly late: number;
}

/** Periodic variation of the demand, with a phase for each availability zone. */
export interface LoadWave {
  /** Largest deviation from the mean rate, as a share of it. */
  readonly amplitude: number;
  readonly periodMilliseconds: Milliseconds;
  readonly zones: number;
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
  /** Mean size of a task, and the largest deviation as a share of it; 3,100 and 0.5 by default. */
  readonly taskMillicores?: { readonly mean: number; readonly spread: number };
  /** Share of jobs whose tasks run `factor` times as long; their clients declare the usual run time. */
  readonly tail?: { readonly share: number; readonly factor: number };
  readonly wave?: LoadWave;
  /** Share of the jobs that each entry gets, up to a common factor; equal by default. */
  readonly entryWeights?: readonly number[];
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
const TASK_MILLICORES = { mean: 3_100, spread: 0.5 };
const DEFAULT_SPREAD = 0.5;

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
    const rate = kind.jobsPerSecond * this.#burstFactorAt(kind, at) *
      this.#waveFactorAt(at);
    const gap = -Math.log(1 - this.#random.next()) * 1_000 / rate;
    time.after(gap, () => this.#emitJob(kind));
  }

  #createJob(kind: LoadKind, at: Milliseconds): ArrivingJob {
    this.#jobs += 1;
    const { taskMillicores = TASK_MILLICORES } = this.#options.load;
    const entry = this.#drawEntry(at);
    const usualMilliseconds = this.#drawAround(kind.meanRunMilliseconds);
    const runMilliseconds = usualMilliseconds * this.#drawTailFactor();
    const tasks = Math.max(1, Math.round(this.#drawAround(kind.meanTasks)));
    const millicores = Math.round(
      this.#drawAround(taskMillicores.mean, taskMillicores.spread),
    );
    return {
      kind,
      number: this.#jobs,
      at,
      entry,
      tasks,
      millicores,
      runMilliseconds,
      estimatedMilliseconds: this.#drawAround(usualMilliseconds),
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

  /** Draws the position of an entry, by the weights of the entries and the demand in their zones. */
  #drawEntry(at: Milliseconds): number {
    const draw = this.#random.next();
    const { entryWeights } = this.#options.load;
    if (entryWeights === undefined) return draw;
    const weights = entryWeights.map((weight, index) =>
      weight * this.#waveFactorAtEntry(index, at)
    );
    let rest = draw * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex((weight) => {
      rest -= weight;
      return rest < 0;
    });
    return (Math.max(0, index) + 0.5) / weights.length;
  }

  /** Demand of all entries relative to its mean. */
  #waveFactorAt(at: Milliseconds): number {
    const { entryWeights = [], wave } = this.#options.load;
    if (wave === undefined || entryWeights.length === 0) return 1;
    const total = entryWeights.reduce((sum, weight) => sum + weight, 0);
    return entryWeights.reduce(
      (sum, weight, index) => sum + weight * this.#waveFactorAtEntry(index, at),
      0,
    ) / total;
  }

  /** Demand of one entry relative to its mean; entries are spread over the zones by their number, from 1. */
  #waveFactorAtEntry(index: number, at: Milliseconds): number {
    const { wave } = this.#options.load;
    if (wave === undefined) return 1;
    const { amplitude, periodMilliseconds, zones } = wave;
    const phase = at / periodMilliseconds + (index + 1) % zones / zones;
    return 1 + amplitude * Math.sin(2 * Math.PI * phase);
  }

  #drawTailFactor(): number {
    const { tail } = this.#options.load;
    return tail !== undefined && this.#random.happens(tail.share)
      ? tail.factor
      : 1;
  }

  /** Draws a number around the mean, uniformly; the spread is a share of the mean. */
  #drawAround(mean: number, spread = DEFAULT_SPREAD): number {
    return mean * this.#random.between(1 - spread, 1 + spread);
  }
}
