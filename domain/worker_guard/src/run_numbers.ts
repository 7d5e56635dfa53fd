/**
 * Numbers of the runs of each task at one worker. A worker refuses a number that is not above one that
 * ended there, and it may know newer ones from an earlier run of this process.
 */
import {
  jobTaskKey,
  type JobTaskReference,
  type Milliseconds,
  type RunReference,
} from "@eelgrassfront/model";
import { ExpiringMap } from "@eelgrassfront/retention";

/** Numbers that are skipped when a worker knows a newer one. */
const STEP = 8;
/** How long numbers are remembered: longer than a client repeats a request. */
const HORIZON_MILLISECONDS: Milliseconds = 60_000;
const MAXIMUM_TASKS = 20_000;

/** Run numbers by task. */
export class RunNumbers {
  readonly #newest = new ExpiringMap<string, number>({
    horizonMilliseconds: HORIZON_MILLISECONDS,
    maximumWeight: MAXIMUM_TASKS,
    weigh: () => 1,
  });

  /** The newest number of a task; 0 for none. */
  newest(task: JobTaskReference): number {
    return this.#newest.get(jobTaskKey(task)) ?? 0;
  }

  /** The number to try after the worker refused the newest one as too low. */
  afterSuperseded(task: JobTaskReference): number {
    return this.newest(task) + STEP;
  }

  /** Notes that a run has this number. */
  note(now: Milliseconds, { task, run }: RunReference): void {
    this.#newest.set(now, jobTaskKey(task), run);
  }
}
