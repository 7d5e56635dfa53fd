/**
 * Selection of the worker for a task: the one with the most free processor capacity among those that can
 * run it. A worker that fails far more often than its peers, or is far slower, gets only probe tasks. If no
 * worker has free capacity, the task waits at the entry. There it can be placed wherever capacity becomes
 * free first, be overtaken by more urgent tasks, or be refused.
 */
import {
  isWithin,
  meetsRequirements,
  type Milliseconds,
  subtractResources,
  type WorkerLoad,
  type WorkerProfile,
  type WorkerRequirements,
} from "@eelgrassfront/model";
import { isMoreUrgentWaiting, isWithinFloor } from "@eelgrassfront/overload";
import type { DispatchJob, DispatchTask } from "./dispatch_job.ts";
import type { TaskAttemptIndex } from "./task_attempt_index.ts";
import { LinkPhase, type WorkerLinkState } from "./worker_link_state.ts";

/**
 * Additional free capacity that a worker in another availability zone must have to be chosen: that of two
 * or three tasks, so that tasks cross zones only when this evens out the load.
 */
const OTHER_ZONE_PENALTY_MILLICORES = 8_000;
/**
 * Multiple of the median slowness above which a worker counts as slow: healthy workers differ by a factor
 * below 2, by their speed and by the actual run time of their tasks.
 */
const SLOW_FACTOR = 2.5;
/**
 * Time without a reply to a renewal after which nothing is placed at a sidecar: many round trips, and far
 * shorter than the time after which it counts as lost.
 */
const SILENCE_MILLISECONDS: Milliseconds = 100;

/** The worker chosen for a task. */
export interface WorkerChoice {
  readonly link: WorkerLinkState;
  readonly session: number;
  readonly isSlow: boolean;
}

/** Averages over the workers in use, by which outliers are recognised. */
export interface WorkerStatistics {
  readonly medianSlowness: number;
  readonly meanFailureRate: number;
}

/** The task, the known workers and the attempts that they hold. */
export interface WorkerChoiceOptions {
  readonly now: Milliseconds;
  readonly links: readonly WorkerLinkState[];
  readonly statistics: WorkerStatistics;
  readonly attempts: TaskAttemptIndex;
  readonly job: DispatchJob;
  readonly task: DispatchTask;
  /** Availability zone of the entry. */
  readonly availabilityZone: string;
}

interface Candidate {
  readonly link: WorkerLinkState;
  readonly session: number;
  readonly isSlow: boolean;
  /** Free millicores, less the penalty for another availability zone. */
  readonly preference: number;
}

/** Chooses a worker, or returns undefined when the task must wait at the entry. */
export function chooseWorker(
  options: WorkerChoiceOptions,
): WorkerChoice | undefined {
  return bestCandidate(findCandidates(options), options.task.avoidedAddress);
}

/** Returns whether any known worker could ever run the task. */
export function isCapableWorkerKnown(
  { links, job, task }: Pick<WorkerChoiceOptions, "links" | "job" | "task">,
): boolean {
  return links.some(({ state }) => {
    const profile = state.phase === LinkPhase.Open ? state.profile : undefined;
    return profile !== undefined && isCapable(profile, job, task);
  });
}

/** Returns the averages over the workers that may get tasks. */
export function workerStatistics(
  now: Milliseconds,
  links: readonly WorkerLinkState[],
): WorkerStatistics {
  const rates = links
    .filter(({ avoidUntil }) => now >= avoidUntil)
    .map(({ detector }) => detector.failureRate);
  return {
    medianSlowness: medianSlowness(links),
    meanFailureRate: mean(rates),
  };
}

/** Returns the median of the workers' run times as multiples of the expected ones; 1 if no load is known. */
export function medianSlowness(links: readonly WorkerLinkState[]): number {
  const known = links
    .flatMap(({ state }) =>
      state.phase === LinkPhase.Open && state.load !== undefined
        ? [state.load.slowness]
        : []
    )
    .sort((left, right) => left - right);
  return known[Math.floor(known.length / 2)] ?? 1;
}

/** Returns whether a worker is far slower than the median worker. */
export function isSlowWorker(
  { state }: WorkerLinkState,
  median: number,
): boolean {
  return state.phase === LinkPhase.Open && state.load !== undefined &&
    state.load.slowness > SLOW_FACTOR * median;
}

function findCandidates(options: WorkerChoiceOptions): readonly Candidate[] {
  const candidates: Candidate[] = [];
  for (const link of options.links) {
    const candidate = candidateAt(options, link);
    if (candidate !== undefined) candidates.push(candidate);
  }
  return candidates;
}

/** Returns a worker as a candidate, or undefined when it gets no task now. */
function candidateAt(
  options: WorkerChoiceOptions,
  link: WorkerLinkState,
): Candidate | undefined {
  const { now, statistics, attempts, job, task } = options;
  const { state, detector } = link;
  if (now < link.avoidUntil || state.phase !== LinkPhase.Open) return undefined;
  const { load, profile } = state;
  if (load?.isTakingWork !== true || profile === undefined) return undefined;
  const isSilent = state.unansweredSince !== undefined &&
    now >= state.unansweredSince + SILENCE_MILLISECONDS;
  if (isSilent) return undefined;
  const { resources } = task.step;
  // Most links of a busy fleet are excluded here, before the costlier conditions.
  if (!isWithin(resources, load.free)) return undefined;
  if (!isCapable(profile, job, task)) return undefined;
  const free = subtractResources(
    load.free,
    attempts.unreportedResources(link.address, load.requestsTaken),
  );
  if (!isWithin(resources, free)) return undefined;
  if (isBehindOthers(load, options, link.address)) return undefined;
  if (isAtStepLimit(options, link.address)) return undefined;
  const isProbed = !detector.isOutlier(statistics.meanFailureRate) ||
    detector.isProbeTaskDue(now, job.tasks.length);
  if (!isProbed) return undefined;
  const isSlow = isSlowWorker(link, statistics.medianSlowness);
  if (isSlow && now < link.nextProbeAt) return undefined;
  const isNear = link.availabilityZone === options.availabilityZone;
  return {
    link,
    session: state.session,
    isSlow,
    preference: free.processorMillicores -
      (isNear ? 0 : OTHER_ZONE_PENALTY_MILLICORES),
  };
}

/** Whether the job must leave the worker to more urgent work of other entries. */
function isBehindOthers(
  { waiting = [] }: WorkerLoad,
  { attempts, job, task }: WorkerChoiceOptions,
  address: string,
): boolean {
  if (job.hasStarted || !isMoreUrgentWaiting(waiting, job.priority)) {
    return false;
  }
  let totalMillicores = 0;
  let lessUrgentMillicores = 0;
  for (const attempt of attempts.atSidecar(address)) {
    const { processorMillicores } = attempt.task.step.resources;
    totalMillicores += processorMillicores;
    if (attempt.job.priority >= job.priority) {
      lessUrgentMillicores += processorMillicores;
    }
  }
  return !isWithinFloor({
    totalMillicores,
    lessUrgentMillicores,
    requestedMillicores: task.step.resources.processorMillicores,
  });
}

function isCapable(
  profile: WorkerProfile,
  job: DispatchJob,
  { step }: DispatchTask,
): boolean {
  return meetsRequirements(profile, requirementsOf(job, step)) &&
    isWithin(step.resources, profile.capacity);
}

/** Returns what a task of a job's step requires of its worker beside capacity. */
export function requirementsOf(
  { route }: DispatchJob,
  { requiredLabel }: DispatchTask["step"],
): WorkerRequirements {
  return {
    service: route.service,
    ...(requiredLabel === undefined ? {} : { requiredLabel }),
  };
}

/** Whether the worker already holds the maximum number of the step's tasks per worker. */
function isAtStepLimit(
  { attempts, job, task }: WorkerChoiceOptions,
  address: string,
): boolean {
  const { maximumPerWorker } = task.step;
  if (maximumPerWorker === undefined) return false;
  const sameStep = attempts.atSidecar(address).filter((attempt) =>
    attempt.job === job && attempt.task.name.step === task.name.step
  );
  return sameStep.length >= maximumPerWorker;
}

function bestCandidate(
  candidates: readonly Candidate[],
  avoidedAddress: string | undefined,
): Candidate | undefined {
  const others = candidates.filter(({ link }) =>
    link.address !== avoidedAddress
  );
  const preferred = others.length > 0 ? others : candidates;
  let best: Candidate | undefined;
  for (const candidate of preferred) {
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
