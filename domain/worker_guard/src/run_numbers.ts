/**
 * Run numbers of each task at one worker. A worker refuses a number that is not higher than that of a run
 * which ended there, and it may know higher numbers from an earlier incarnation of this sidecar.
 */
import {
  jobTaskKey,
  type JobTaskReference,
  type Milliseconds,
  type RunReference,
} from "@eelgrassfront/model";
import { ExpiringMap } from "@eelgrassfront/retention";

/** How far the number is raised when the worker knows a higher one. */
const SUPERSEDED_INCREMENT = 8;
/** How long numbers are kept: longer than a client repeats a request. */
const HORIZON_MILLISECONDS: Milliseconds = 60_000;
const MAXIMUM_TASKS = 20_000;

/** The highest run number of each task. */
export class RunNumbers {
  readonly #highest = new ExpiringMap<string, number>({
    horizonMilliseconds: HORIZON_MILLISECONDS,
    maximumWeight: MAXIMUM_TASKS,
    weigh: () => 1,
  });

  /** The highest number of a task; 0 for none. */
  highest(task: JobTaskReference): number {
    return this.#highest.get(jobTaskKey(task)) ?? 0;
  }

  /** The number to try after the worker refused the highest known one as superseded. */
  afterSuperseded(task: JobTaskReference): number {
    return this.highest(task) + SUPERSEDED_INCREMENT;
  }

  /** Records the number of a run. */
  record(now: Milliseconds, { task, run }: RunReference): void {
    this.#highest.set(now, jobTaskKey(task), run);
  }
}
