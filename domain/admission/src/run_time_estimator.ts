/**
 * Run-time estimates by team and kind of work, from the run times of ended tasks. The run times that
 * callers declare are not used, since they may be far too short or too long.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Team and kind of work of a task. */
export interface RunTimeKey {
  readonly team: string;
  readonly kindOfWork: string;
}

/** Estimate before any task has ended: between the usual shortest and longest run times. */
const INITIAL_RUN_MILLISECONDS: Milliseconds = 300;
/** Least weight of a new run time in a mean: a single long task changes the mean little. */
const SMOOTHING = 0.02;

interface Mean {
  readonly milliseconds: Milliseconds;
  readonly count: number;
}

/** Mean run times by team and kind of work; a new team starts from the mean of its kind. */
export class RunTimeEstimator {
  readonly #ofKinds = new Map<string, Mean>();
  readonly #ofTeams = new Map<string, Map<string, Mean>>();

  /** Returns the expected run time of a task. */
  estimate({ team, kindOfWork }: RunTimeKey): Milliseconds {
    return this.#ofTeams.get(kindOfWork)?.get(team)?.milliseconds ??
      this.#ofKinds.get(kindOfWork)?.milliseconds ?? INITIAL_RUN_MILLISECONDS;
  }

  /** Returns whether any task of a kind has ended. */
  hasObserved(kindOfWork: string): boolean {
    return this.#ofKinds.has(kindOfWork);
  }

  /** Adds the run time of an ended task. */
  observe(key: RunTimeKey, runMilliseconds: Milliseconds): void {
    const { team, kindOfWork } = key;
    const ofKind = this.#ofKinds.get(kindOfWork);
    const teams = this.#ofTeams.get(kindOfWork) ?? new Map<string, Mean>();
    teams.set(team, smooth(teams.get(team) ?? ofKind, runMilliseconds));
    this.#ofTeams.set(kindOfWork, teams);
    this.#ofKinds.set(kindOfWork, smooth(ofKind, runMilliseconds));
  }
}

/** Updates a mean; the first run times weigh equally, so that the initial estimate has no effect on it. */
function smooth(mean: Mean | undefined, measured: Milliseconds): Mean {
  if (mean === undefined) return { milliseconds: measured, count: 1 };
  const count = mean.count + 1;
  const weight = Math.max(SMOOTHING, 1 / count);
  const milliseconds = mean.milliseconds +
    (measured - mean.milliseconds) * weight;
  return { milliseconds, count };
}
