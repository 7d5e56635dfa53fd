/**
 * Estimate of the backlog that a job of an entry waits for, by which the job is admitted or refused.
 */
import type { DispatchOutput, OutputCollector } from "@eelgrassfront/model";
import type { ArrivalRates } from "./arrival_rates.ts";
import type { CrashPolicy } from "./crash_policy.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import type { Backlog } from "./job_admission.ts";
import type { JobQueue } from "./job_queue.ts";
import { ENTRIES_PER_SIDECAR } from "./sidecar_selection.ts";
import type { TaskAttemptIndex } from "./task_attempt_index.ts";
import { LinkPhase } from "./worker_link_state.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** Sources from which the backlog is computed. */
export interface BacklogSource {
  readonly links: WorkerLinks;
  readonly attempts: TaskAttemptIndex;
  /** Number of entries that share the workers, this one among them. */
  readonly entryCount: () => number;
}

/** Collaborators of a `BacklogEstimator`. */
export interface BacklogEstimatorOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly source: BacklogSource;
  readonly queue: JobQueue;
  readonly arrivalRates: ArrivalRates;
  readonly crashes: CrashPolicy;
}

/** Share of the capacity that is left to work of any priority, however much more urgent work arrives. */
const MINIMUM_CAPACITY_SHARE = 1 / 3;

/** Estimates the backlog of jobs. */
export class BacklogEstimator {
  readonly #options: BacklogEstimatorOptions;

  constructor(options: BacklogEstimatorOptions) {
    this.#options = options;
  }

  /**
   * Returns the work until the last task of a job starts, and this entry's part of the workers' capacity.
   * The work includes the job's own, since its client waits for the last task.
   */
  of(job: DispatchJob): Backlog {
    const ahead = this.#options.queue.jobsUpTo(job).filter((other) =>
      other !== job && other.isSuspect === job.isSuspect
    );
    const workAhead = [...ahead, job].reduce(
      (sum, { waitingWork }) => sum + waitingWork,
      0,
    );
    const { now } = this.#options.collector;
    const served = this.#servedMillicores(job);
    const moreUrgent = this.#options.arrivalRates.moreUrgentMillicores(
      now,
      job.route.priority,
    );
    const servedMillicores = Math.max(
      MINIMUM_CAPACITY_SHARE * served,
      served - moreUrgent,
    );
    return { workAhead, servedMillicores };
  }

  /**
   * Returns the capacity that this entry can expect from the workers of a job's service, in millicores:
   * proportional to its part of the used capacity, and at least an even share among the entries that each
   * sidecar serves, so that an entry without running tasks does not refuse every job.
   */
  #servedMillicores(job: DispatchJob): number {
    const { links, attempts, entryCount } = this.#options.source;
    let capacity = 0;
    let used = 0;
    let own = 0;
    const { crashes } = this.#options;
    for (const link of crashes.workersOf(job, links.all())) {
      const { state, address, isEvacuated } = link;
      if (state.phase !== LinkPhase.Open || isEvacuated) continue;
      const { profile, load } = state;
      if (profile === undefined || load?.isTakingWork !== true) continue;
      if (profile.service !== job.route.service) continue;
      capacity += profile.capacity.processorMillicores;
      used += profile.capacity.processorMillicores -
        load.free.processorMillicores;
      for (const { task } of attempts.atSidecar(address)) {
        own += task.step.resources.processorMillicores;
      }
    }
    const sharing = Math.min(ENTRIES_PER_SIDECAR, entryCount());
    const evenShare = 1 / Math.max(1, sharing);
    const share = used === 0 ? 1 : Math.min(1, Math.max(evenShare, own / used));
    return capacity * share;
  }
}
