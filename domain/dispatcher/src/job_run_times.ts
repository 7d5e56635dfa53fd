/**
 * Expected run times of the tasks of jobs. An estimate is the mean run time of the kind of work, times the
 * square root of the ratio between the job's declared run time and the kind's mean declared one. The square
 * root halves the logarithmic distance, because the error of a declaration is about as large as the spread
 * of run times within the kind.
 */
import { RunTimeEstimator } from "@eelgrassfront/admission";
import type {
  BestEffortJob,
  Milliseconds,
  WorkRoute,
} from "@eelgrassfront/model";

/** Largest factor by which a declaration changes the mean, since declarations may be far off. */
const MAXIMUM_CORRECTION = 2;

/** Estimates run times by kind of work from completed tasks. */
export class JobRunTimes {
  readonly #measured = new RunTimeEstimator();
  readonly #declared = new RunTimeEstimator();

  /** Returns the expected run time of one task; until a task of the kind has completed, the declared one. */
  estimate(route: WorkRoute, job: BestEffortJob): Milliseconds {
    const declared = declaredRunMilliseconds(job);
    if (!this.#measured.hasObserved(route.name)) {
      return declared > 0
        ? declared
        : this.#measured.estimate(runTimeKey(route));
    }
    const mean = this.#measured.estimate(runTimeKey(route));
    if (declared === 0) return mean;
    const ratio = declared / this.#declared.estimate(runTimeKey(route));
    const correction = Math.sqrt(ratio);
    return mean * Math.min(
      MAXIMUM_CORRECTION,
      Math.max(1 / MAXIMUM_CORRECTION, correction),
    );
  }

  /** Adds the run time of a completed task. */
  observe(
    route: WorkRoute,
    job: BestEffortJob,
    runMilliseconds: Milliseconds,
  ): void {
    this.#measured.observe(runTimeKey(route), runMilliseconds);
    this.#declared.observe(
      runTimeKey(route),
      Math.max(1, declaredRunMilliseconds(job)),
    );
  }
}

function declaredRunMilliseconds({ steps }: BestEffortJob): Milliseconds {
  return Math.max(
    0,
    ...steps.map(({ estimatedMilliseconds }) => estimatedMilliseconds),
  );
}

function runTimeKey({ name }: WorkRoute) {
  return { team: "", kindOfWork: name };
}
