/**
 * Which worker gets the next task: the one with the most processor time free, among those that may run
 * it. A worker that fails far more than its peers, or takes far longer, gets a trickle. When nothing is
 * free the task waits at the entry: there it can be placed wherever room comes first, be overtaken by what
 * is more urgent, or be refused.
 */
import {
  isWithin,
  type Milliseconds,
  subtractResources,
  type WorkerProfile,
} from "@eelgrassfront/model";
import type { DispatchJob, DispatchTask } from "./dispatch_job.ts";
import type { AttemptBook } from "./attempt_book.ts";
import { LinkPhase, type WorkerLinkState } from "./worker_link_state.ts";

/**
 * How much more a worker in another availability zone must have free to be chosen: the room of two or
 * three tasks, so that traffic between zones is spent only where it evens out the load.
 */
const OTHER_ZONE_MILLICORES = 8_000;
/**
 * How many times as long as at a typical worker tasks must take for a worker to count as slow: sound workers
 * differ by less than 2 in speed and in the true length of their tasks.
 */
const SLOW_FACTOR = 2.5;

/** A worker for a task. */
export interface WorkerChoice {
  readonly link: WorkerLinkState;
  readonly session: number;
  readonly isSlow: boolean;
}

/** What the choice needs. */
export interface WorkerChoiceOptions {
  readonly now: Milliseconds;
  readonly links: readonly WorkerLinkState[];
  readonly attempts: AttemptBook;
  readonly job: DispatchJob;
  readonly task: DispatchTask;
  /** Availability zone of the entry. */
  readonly availabilityZone: string;
}

interface Candidate {
  readonly link: WorkerLinkState;
  readonly session: number;
  readonly isSlow: boolean;
  /** Processor time that is free, less what another availability zone costs. */
  readonly preference: number;
}

/** Chooses a worker; undefined when the task must wait at the entry. */
export function chooseWorker(
  options: WorkerChoiceOptions,
): WorkerChoice | undefined {
  return freest(workersWithRoom(options), options.task.avoidedAddress);
}

/** Whether some worker that is known could ever run the task. */
export function isCapableWorkerKnown(
  { links, job, task }: Pick<WorkerChoiceOptions, "links" | "job" | "task">,
): boolean {
  return links.some(({ state }) => {
    const profile = state.phase === LinkPhase.Open ? state.profile : undefined;
    return profile !== undefined && isSuitable(profile, job, task);
  });
}

/** Time that tasks take at a typical worker, as a multiple of what was expected. */
export function typicalSlowness(links: readonly WorkerLinkState[]): number {
  const known = links
    .flatMap(({ state }) =>
      state.phase === LinkPhase.Open && state.load !== undefined
        ? [state.load.slowness]
        : []
    )
    .sort((left, right) => left - right);
  return known[Math.floor(known.length / 2)] ?? 1;
}

/** Whether tasks take far longer at a worker than at a typical one. */
export function isSlowWorker(
  { state }: WorkerLinkState,
  typical: number,
): boolean {
  return state.phase === LinkPhase.Open && state.load !== undefined &&
    state.load.slowness > SLOW_FACTOR * typical;
}

function workersWithRoom(options: WorkerChoiceOptions): readonly Candidate[] {
  const { now, links, attempts, job, task } = options;
  const open = links.filter(({ avoidUntil }) => now >= avoidUntil);
  const typical = typicalSlowness(links);
  const meanRate = mean(open.map(({ failures }) => failures.failureRate));
  return open.flatMap((link): readonly Candidate[] => {
    const { state } = link;
    if (state.phase !== LinkPhase.Open) return [];
    const { load, profile } = state;
    if (load === undefined || profile === undefined) return [];
    if (!load.isTakingWork || !isSuitable(profile, job, task)) return [];
    if (isCrowded(options, link.address)) return [];
    const { failures } = link;
    const isOutlier = failures.isOutlier(meanRate);
    if (isOutlier && !failures.isProbeTaskDue(now, job.tasks.length)) return [];
    const isSlow = isSlowWorker(link, typical);
    if (isSlow && now < link.nextTrialAt) return [];
    const free = subtractResources(
      load.free,
      attempts.unconfirmed(link.address, load.requestsTaken),
    );
    if (!isWithin(task.step.resources, free)) return [];
    const isNear = link.availabilityZone === options.availabilityZone;
    return [{
      link,
      session: state.session,
      isSlow,
      preference: free.processorMillicores -
        (isNear ? 0 : OTHER_ZONE_MILLICORES),
    }];
  });
}

function isSuitable(
  { service, labels, capacity }: WorkerProfile,
  job: DispatchJob,
  { step }: DispatchTask,
): boolean {
  const { requiredLabel } = step;
  const hasLabel = requiredLabel === undefined ||
    labels.includes(requiredLabel);
  return service === job.route.service && hasLabel &&
    isWithin(step.resources, capacity);
}

/** Whether the worker already has as many tasks of the step as may run together. */
function isCrowded(
  { attempts, job, task }: WorkerChoiceOptions,
  address: string,
): boolean {
  const { maximumPerWorker } = task.step;
  if (maximumPerWorker === undefined) return false;
  const together = attempts.at(address).filter((attempt) =>
    attempt.job === job && attempt.task.name.step === task.name.step
  );
  return together.length >= maximumPerWorker;
}

function freest(
  candidates: readonly Candidate[],
  avoidedAddress: string | undefined,
): Candidate | undefined {
  const others = candidates.filter(({ link }) =>
    link.address !== avoidedAddress
  );
  const pool = others.length > 0 ? others : candidates;
  let best: Candidate | undefined;
  for (const candidate of pool) {
    const isBetter = best === undefined ||
      candidate.preference > best.preference;
    if (isBetter) best = candidate;
  }
  return best;
}

function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
