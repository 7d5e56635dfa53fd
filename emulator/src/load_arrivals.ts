/**
 * The jobs of a played load: kinds of work that arrive at random, more often in a burst, with sizes and run
 * times that spread around the means of their kind. The same load gives the same jobs to whoever serves it.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { SeededRandom } from "./seeded_random.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** A kind of work and how much of it comes. */
export interface LoadKind {
  readonly name: string;
  /** 0 is served first. */
  readonly priority: number;
  readonly jobsPerSecond: number;
  readonly meanTasks: number;
  readonly meanRunMilliseconds: Milliseconds;
}

/** A time in which one kind of work comes more often. */
export interface LoadBurst {
  readonly kind: string;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  readonly factor: number;
}

/** What arrives. */
export interface LoadProfile {
  readonly seed: number;
  readonly durationMilliseconds: Milliseconds;
  readonly kinds: readonly LoadKind[];
  readonly bursts?: readonly LoadBurst[];
}

/** A job that arrives. */
export interface ArrivingJob {
  readonly kind: LoadKind;
  /** Numbers the jobs of a load. */
  readonly number: number;
  /** Since the start of the load. */
  readonly at: Milliseconds;
  /** Which of the entries it reaches, from 0 up to 1. */
  readonly entry: number;
  readonly tasks: number;
  readonly millicores: number;
  readonly runMilliseconds: Milliseconds;
  /** What its client declares, which is off. */
  readonly estimatedMilliseconds: Milliseconds;
  /** Time in which its client wants the answer. */
  readonly objectiveMilliseconds: Milliseconds;
}

/** What the arrivals need. */
export interface ArrivalGeneratorOptions {
  readonly load: LoadProfile;
  readonly time: VirtualTime;
  /** Time before the load in which the fleet comes up. */
  readonly startMilliseconds: Milliseconds;
  readonly onArrival: (job: ArrivingJob) => void;
}

/** Factor and allowance of the users' latency objectives. */
export const OBJECTIVE_SLACK_FACTOR = 1.6;
export const OBJECTIVE_ALLOWANCE_MILLISECONDS: Milliseconds = 60;
const TASK_MILLICORES = 3_100;

/** Lets the jobs of a load arrive in virtual time. */
export class ArrivalGenerator {
  readonly #options: ArrivalGeneratorOptions;
  readonly #random: SeededRandom;
  #jobs = 0;

  constructor(options: ArrivalGeneratorOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.load.seed + 2_000_003);
  }

  /** Begins. */
  start(): void {
    const { load, time, startMilliseconds } = this.#options;
    for (const kind of load.kinds) {
      time.after(startMilliseconds, () => this.#arriveAgain(kind));
    }
  }

  #arriveAgain(kind: LoadKind): void {
    const { load, time, startMilliseconds, onArrival } = this.#options;
    const at = time.now - startMilliseconds;
    if (at >= load.durationMilliseconds) return;
    onArrival(this.#newJob(kind, at));
    const rate = kind.jobsPerSecond * this.#factorAt(kind, at);
    const gap = -Math.log(1 - this.#random.next()) * 1_000 / rate;
    time.after(gap, () => this.#arriveAgain(kind));
  }

  #newJob(kind: LoadKind, at: Milliseconds): ArrivingJob {
    this.#jobs += 1;
    const entry = this.#random.next();
    const runMilliseconds = this.#around(kind.meanRunMilliseconds);
    const tasks = Math.max(1, Math.round(this.#around(kind.meanTasks)));
    const millicores = Math.round(this.#around(TASK_MILLICORES));
    return {
      kind,
      number: this.#jobs,
      at,
      entry,
      tasks,
      millicores,
      runMilliseconds,
      estimatedMilliseconds: this.#around(runMilliseconds),
      objectiveMilliseconds: OBJECTIVE_SLACK_FACTOR * runMilliseconds +
        OBJECTIVE_ALLOWANCE_MILLISECONDS,
    };
  }

  #factorAt({ name }: LoadKind, at: Milliseconds): number {
    const { bursts = [] } = this.#options.load;
    return bursts
      .filter(({ kind, from, until }) =>
        kind === name && at >= from && at < until
      )
      .reduce((product, { factor }) => product * factor, 1);
  }

  /** A figure that is spread evenly around its mean. */
  #around(mean: number): number {
    return mean * this.#random.between(0.5, 1.5);
  }
}
