/**
 * Run times of each team's work of each kind, learnt from the tasks that ended. What callers declare is
 * not used: it may be far off either way.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Whose tasks and of which kind. */
export interface RunTimeKey {
  readonly team: string;
  readonly kindOfWork: string;
}

/** Between the shortest and the longest tasks that are usual. */
const INITIAL_RUN_MILLISECONDS: Milliseconds = 300;
/** Weight of one task when many have ended: one long task moves the mean little. */
const SMOOTHING = 0.02;

interface Mean {
  readonly milliseconds: Milliseconds;
  readonly count: number;
}

/** Mean run times by team and kind of work; a team without any starts from those of its kind. */
export class RunTimeEstimator {
  readonly #ofKinds = new Map<string, Mean>();
  readonly #ofTeams = new Map<string, Map<string, Mean>>();

  /** Expected run time of a task. */
  estimate({ team, kindOfWork }: RunTimeKey): Milliseconds {
    return this.#ofTeams.get(kindOfWork)?.get(team)?.milliseconds ??
      this.#ofKinds.get(kindOfWork)?.milliseconds ?? INITIAL_RUN_MILLISECONDS;
  }

  /** Whether a task of the kind has ended. */
  hasObserved(kindOfWork: string): boolean {
    return this.#ofKinds.has(kindOfWork);
  }

  /** Takes the run time of a task that ended. */
  observe(flow: RunTimeKey, runMilliseconds: Milliseconds): void {
    const { team, kindOfWork } = flow;
    const ofKind = this.#ofKinds.get(kindOfWork);
    const teams = this.#ofTeams.get(kindOfWork) ?? new Map<string, Mean>();
    teams.set(team, smooth(teams.get(team) ?? ofKind, runMilliseconds));
    this.#ofTeams.set(kindOfWork, teams);
    this.#ofKinds.set(kindOfWork, smooth(ofKind, runMilliseconds));
  }
}

/** The first tasks count evenly, so that the initial guess is forgotten at once. */
function smooth(mean: Mean | undefined, measured: Milliseconds): Mean {
  if (mean === undefined) return { milliseconds: measured, count: 1 };
  const count = mean.count + 1;
  const weight = Math.max(SMOOTHING, 1 / count);
  const milliseconds = mean.milliseconds +
    (measured - mean.milliseconds) * weight;
  return { milliseconds, count };
}
