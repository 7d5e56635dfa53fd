/**
 * Run times by kind of worker. Where kinds differ widely in speed, tasks go to the fastest kind with free capacity, and
 * a worker counts as slow only against its own kind. The load that this answers: workers of which a third runs the same
 * work in less than half of the time, or in more than twice the time, at moderate utilisation.
 */
import type { Milliseconds, WorkerProfile } from "@eelgrassfront/model";

/**
 * Ratio of run times from which kinds count as different. Healthy workers of similar kinds differ by less, so free
 * capacity says more than speed about when a task ends there.
 */
const DISTINCT_FACTOR = 2;
/** Completed runs of a kind of work after which its run time at a kind of worker is known. */
const MINIMUM_RUNS = 30;
/** Number of runs over which a mean follows a change of the workers. */
const AVERAGED_RUNS = 200;
/** Number of completed runs between two comparisons of the kinds. */
const RUNS_PER_COMPARISON = 16;

interface RunTimes {
  runs: number;
  /** Mean logarithm of the run time; a few runs of a long tail hardly move it. */
  logarithm: number;
}

/** The part of a worker's profile that names its kind. */
export type KindOfWorker = Pick<WorkerProfile, "labels">;

/** Learns how fast kinds of worker are from completed runs. */
export class KindSpeeds {
  /** Run times by kind of work and kind of worker; only those of the same kind of work can be compared. */
  readonly #runTimes = new Map<string, Map<string, RunTimes>>();
  /** Run time by kind of worker as a multiple of that at the fastest kind; empty while kinds are not distinct. */
  #relativeRunTimes: ReadonlyMap<string, number> = new Map();
  #runsUntilComparison = RUNS_PER_COMPARISON;
  #revision = 0;

  /** Whether kinds differ so much that it matters where a task runs. */
  get areDistinct(): boolean {
    return this.#relativeRunTimes.size > 0;
  }

  /** Rises whenever the kinds were compared anew and differ. */
  get revision(): number {
    return this.#revision;
  }

  /** Adds a completed run of a kind of work. */
  observe(
    worker: KindOfWorker,
    workKind: string,
    runMilliseconds: Milliseconds,
  ): void {
    const kind = kindOf(worker);
    if (kind === undefined) return;
    const byKind = this.#runTimes.get(workKind) ?? new Map();
    this.#runTimes.set(workKind, byKind);
    const known: RunTimes = byKind.get(kind) ?? { runs: 0, logarithm: 0 };
    byKind.set(kind, known);
    known.runs = Math.min(AVERAGED_RUNS, known.runs + 1);
    const logarithm = Math.log(Math.max(1, runMilliseconds));
    known.logarithm += (logarithm - known.logarithm) / known.runs;
    this.#runsUntilComparison -= 1;
    if (this.#runsUntilComparison > 0) return;
    this.#runsUntilComparison = RUNS_PER_COMPARISON;
    this.#compare();
  }

  /**
   * Returns the run time at a worker as a multiple of that at the fastest kind; 1 while kinds are not distinct or the
   * worker's kind is unknown.
   */
  relativeRunTime(worker: KindOfWorker): number {
    return this.#relativeRunTimes.get(kindOf(worker) ?? "") ?? 1;
  }

  /** Compares the kinds of worker by each kind of work that is known at several of them. */
  #compare(): void {
    const differences = new Map<string, number[]>();
    for (const byKind of this.#runTimes.values()) {
      const known = [...byKind].filter(([, { runs }]) => runs >= MINIMUM_RUNS);
      if (known.length < 2) continue;
      const least = Math.min(...known.map(([, { logarithm }]) => logarithm));
      for (const [kind, { logarithm }] of known) {
        const earlier = differences.get(kind) ?? [];
        differences.set(kind, [...earlier, logarithm - least]);
      }
    }
    const factors = [...differences].map(
      ([kind, values]) => [kind, Math.exp(mean(values))] as const,
    );
    const areDistinct = factors.some(([, factor]) => factor >= DISTINCT_FACTOR);
    if (areDistinct || this.areDistinct) this.#revision += 1;
    this.#relativeRunTimes = new Map(areDistinct ? factors : []);
  }
}

/** The first label of a worker names its kind. */
function kindOf({ labels }: KindOfWorker): string | undefined {
  return labels[0];
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
