/**
 * The bound that policies are compared with: an omniscient scheduler with one fair queue for all slots and
 * no network delay. It serves the submission that has received the least service, and it knows every run
 * time in advance, so it charges the true run time when a task starts.
 */
import { VirtualTime } from "@eelgrassfront/emulator";
import { FairQueue, QueueDisciplineKind } from "@eelgrassfront/fairness";
import { identifySubmission, type Milliseconds } from "@eelgrassfront/model";
import type { Arrival } from "./policy_load.ts";
import {
  Ending,
  PolicyStatistics,
  type RunSummary,
} from "./policy_statistics.ts";
import type { PolicyRunOptions } from "./policy_run.ts";

interface PendingJob {
  readonly arrival: Arrival;
  remainingTasks: number;
}

interface PendingTask {
  readonly job: PendingJob;
  readonly runMilliseconds: Milliseconds;
}

/** Runs a load under the omniscient scheduler. */
export function runOmniscientScheduler(options: PolicyRunOptions): RunSummary {
  const scheduler = new OmniscientScheduler(options);
  return scheduler.run();
}

class OmniscientScheduler {
  readonly #options: PolicyRunOptions;
  readonly #time = new VirtualTime();
  readonly #queue = new FairQueue<PendingTask>({
    kind: QueueDisciplineKind.LeastServedSubmission,
  });
  readonly #statistics: PolicyStatistics;
  #freeSlots: number;

  constructor(options: PolicyRunOptions) {
    this.#options = options;
    this.#freeSlots = options.sidecars * options.slots;
    this.#statistics = new PolicyStatistics(this.#freeSlots, options.window);
  }

  run(): RunSummary {
    for (const arrival of this.#options.arrivals) {
      this.#time.after(arrival.at, () => this.#submit(arrival));
    }
    this.#time.runUntil(this.#options.endsAt);
    return this.#statistics.summarize("bound", this.#options.load);
  }

  #submit(arrival: Arrival): void {
    this.#statistics.recordSubmission(arrival);
    const job = { arrival, remainingTasks: arrival.runMilliseconds.length };
    const { submission } = arrival;
    for (const runMilliseconds of arrival.runMilliseconds) {
      this.#queue.add({
        submission: identifySubmission(submission),
        team: submission.team,
        kindOfWork: submission.kindOfWork,
        servedMilliseconds: 0,
        arrivedAt: arrival.at,
      }, { job, runMilliseconds });
    }
    this.#start();
  }

  #start(): void {
    while (this.#freeSlots > 0) {
      const task = this.#queue.take(this.#time.now);
      if (task === undefined) return;
      const { submission } = task.job.arrival;
      this.#freeSlots -= 1;
      this.#queue.charge({
        submission: identifySubmission(submission),
        team: submission.team,
        kindOfWork: submission.kindOfWork,
      }, task.runMilliseconds);
      this.#time.after(task.runMilliseconds, () => this.#end(task));
    }
  }

  #end({ job }: PendingTask): void {
    this.#freeSlots += 1;
    job.remainingTasks -= 1;
    if (job.remainingTasks === 0) {
      this.#statistics.recordEnd(job.arrival, Ending.Completed, this.#time.now);
    }
    this.#start();
  }
}
