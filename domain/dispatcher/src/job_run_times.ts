/**
 * Expected run times of the tasks of jobs: the mean of their kind of work, moved towards what the job
 * declares by half of the (logarithmic) distance, since a declaration is about as far off as the kind's
 * own spread is wide.
 */
import { RunTimeEstimator } from "@eelgrassfront/admission";
import type {
  BestEffortJob,
  Milliseconds,
  WorkRoute,
} from "@eelgrassfront/model";

/** How far a declaration moves the mean at most: declarations may be far off. */
const LARGEST_CORRECTION = 2;

/** Run times by kind of work, learnt from the tasks that completed. */
export class JobRunTimes {
  readonly #measured = new RunTimeEstimator();
  readonly #declared = new RunTimeEstimator();

  /** Expected run time of a task of a job. */
  expected(route: WorkRoute, job: BestEffortJob): Milliseconds {
    const declared = declaredRun(job);
    if (!this.#measured.hasObserved(route.name)) {
      return declared > 0 ? declared : this.#measured.estimate(flowOf(route));
    }
    const mean = this.#measured.estimate(flowOf(route));
    if (declared === 0) return mean;
    const ratio = declared / this.#declared.estimate(flowOf(route));
    const correction = Math.sqrt(ratio);
    return mean * Math.min(
      LARGEST_CORRECTION,
      Math.max(1 / LARGEST_CORRECTION, correction),
    );
  }

  /** Takes the run time of a task that completed. */
  learn(
    route: WorkRoute,
    job: BestEffortJob,
    runMilliseconds: Milliseconds,
  ): void {
    this.#measured.observe(flowOf(route), runMilliseconds);
    this.#declared.observe(flowOf(route), Math.max(1, declaredRun(job)));
  }
}

function declaredRun({ steps }: BestEffortJob): Milliseconds {
  return Math.max(
    0,
    ...steps.map(({ estimatedMilliseconds }) => estimatedMilliseconds),
  );
}

function flowOf({ name }: WorkRoute) {
  return { team: "", kindOfWork: name };
}
