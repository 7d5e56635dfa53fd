/**
 * Run times of each team's work of each kind, learnt from the tasks that ended. What callers declare is
 * not used: it may be far off either way.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Whose tasks and of which kind. */
export interface RunTimeFlow {
  readonly team: string;
  readonly kindOfWork: string;
}

const INITIAL_RUN_MILLISECONDS: Milliseconds = 300;
const SMOOTHING = 0.02;

/** Mean run times by team and kind of work; a team without any starts from those of its kind. */
export class RunTimeEstimates {
  readonly #ofKinds = new Map<string, Milliseconds>();
  readonly #ofTeams = new Map<string, Map<string, Milliseconds>>();

  /** Expected run time of a task. */
  of({ team, kindOfWork }: RunTimeFlow): Milliseconds {
    return this.#ofTeams.get(kindOfWork)?.get(team) ??
      this.#ofKinds.get(kindOfWork) ?? INITIAL_RUN_MILLISECONDS;
  }

  /** Takes the run time of a task that ended. */
  learn(flow: RunTimeFlow, runMilliseconds: Milliseconds): void {
    const { team, kindOfWork } = flow;
    const teams = this.#ofTeams.get(kindOfWork) ?? new Map();
    teams.set(team, smooth(this.of(flow), runMilliseconds));
    this.#ofTeams.set(kindOfWork, teams);
    const mean = this.#ofKinds.get(kindOfWork) ?? INITIAL_RUN_MILLISECONDS;
    this.#ofKinds.set(kindOfWork, smooth(mean, runMilliseconds));
  }
}

function smooth(mean: Milliseconds, measured: Milliseconds): Milliseconds {
  return mean + (measured - mean) * SMOOTHING;
}
