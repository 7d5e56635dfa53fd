/**
 * Selection of the worker for a task: the one with the most free processor capacity among those that can
 * run it, of the fastest kind where kinds differ widely. A worker that fails far more often than its peers, or is far slower, gets only probe tasks. If no
 * worker has free capacity, the task waits at the entry. There it can be placed wherever capacity becomes
 * free first, be overtaken by more urgent tasks, or be refused.
 */
import {
  isWithin,
  meetsRequirements,
  type Milliseconds,
  NO_RESOURCES,
  subtractResources,
  type WorkerLoad,
  type WorkerProfile,
  type WorkerRequirements,
} from "@eelgrassfront/model";
import { isMoreUrgentWaiting, isWithinFloor } from "@eelgrassfront/overload";
import type { DispatchJob, DispatchTask } from "./dispatch_job.ts";
import type { KindSpeeds } from "./kind_speeds.ts";
import type { TaskAttemptIndex } from "./task_attempt_index.ts";
import { LinkPhase, type WorkerLinkState } from "./worker_link_state.ts";

/**
 * Additional free capacity that a worker in another availability zone must have to be chosen: that of two
 * or three tasks, so that tasks cross zones only when this evens out the load.
 */
const OTHER_ZONE_PENALTY_MILLICORES = 8_000;
/** More than the capacity of any worker, so that the tier of a worker goes before its free capacity. */
const TIER_MILLICORES = 1e9;
/** Tier of cold workers, behind those of all kinds: their relative run times are below it. */
const COLD_TIER = 10;
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

/** What `WorkerStatistics` are computed from. */
export interface WorkerStatisticsOptions {
  readonly now: Milliseconds;
  readonly links: readonly WorkerLinkState[];
  readonly medianSlowness: number;
}

/** Averages over the workers in use, by which outliers are recognised. */
export class WorkerStatistics {
  readonly #options: WorkerStatisticsOptions;
  #meanFailureRate: number | undefined;

  constructor(options: WorkerStatisticsOptions) {
    this.#options = options;
  }

  /** Median of the workers' run times as multiples of the expected ones. */
  get medianSlowness(): number {
    return this.#options.medianSlowness;
  }

  /** Mean failure rate of the workers that may get tasks; computed once it is needed. */
  get meanFailureRate(): number {
    this.#meanFailureRate ??= this.#computeMeanFailureRate();
    return this.#meanFailureRate;
  }

  #computeMeanFailureRate(): number {
    const { now, links } = this.#options;
    const rates = links
      .filter(({ avoidUntil }) => now >= avoidUntil)
      .map(({ detector }) => detector.failureRate);
    return mean(rates);
  }
}

/** The task, the known workers and the attempts that they hold. */
export interface WorkerChoiceOptions {
  readonly now: Milliseconds;
  readonly links: readonly WorkerLinkState[];
  readonly statistics: WorkerStatistics;
  readonly attempts: TaskAttemptIndex;
  readonly speeds: KindSpeeds;
  readonly job: DispatchJob;
  readonly task: DispatchTask;
  /** Availability zone of the entry. */
  readonly availabilityZone: string;
}

/** Largest failure rate of a worker that a failed task does not avoid: one failure, and four successes after it. */
const MAXIMUM_RISK = 0.1;
/** Preference of a worker that gets no task now. */
const EXCLUDED = -Infinity;

/** Chooses a worker, or returns undefined when the task must wait at the entry. */
export function chooseWorker(
  options: WorkerChoiceOptions,
): WorkerChoice | undefined {
  const { links, job, task } = options;
  const requirements = requirementsOf(job, task.step);
  let best: WorkerLinkState | undefined;
  let highest = EXCLUDED;
  let avoided: WorkerLinkState | undefined;
  let lowestRisk = Infinity;
  for (const link of links) {
    const preference = preferenceFor(options, requirements, link);
    if (preference === EXCLUDED) continue;
    const risk = riskAt(link, task);
    if (risk > MAXIMUM_RISK) {
      if (risk >= lowestRisk) continue;
      avoided = link;
      lowestRisk = risk;
    } else if (preference > highest) {
      best = link;
      highest = preference;
    }
  }
  return choiceOf(best ?? avoided, options);
}

/**
 * Returns how likely a task ends in vain at a worker, by what happened to it and to others there. Only a task that has
 * failed keeps away from workers where others have failed, too: another worker that fails all its tasks, and is not
 * known as an outlier yet, would use up the task's attempts.
 */
function riskAt(
  { address, detector }: WorkerLinkState,
  { avoidedAddress, failures }: DispatchTask,
): number {
  if (address === avoidedAddress) return 1;
  return failures > 0 ? detector.failureRate : 0;
}

function choiceOf(
  link: WorkerLinkState | undefined,
  { statistics, speeds }: WorkerChoiceOptions,
): WorkerChoice | undefined {
  if (link?.state.phase !== LinkPhase.Open) return undefined;
  const { session } = link.state;
  const isSlow = isSlowWorker(link, statistics.medianSlowness, speeds);
  return { link, session, isSlow };
}

/** Returns whether any known worker could ever run the task. */
export function isCapableWorkerKnown(
  { links, job, task }: Pick<WorkerChoiceOptions, "links" | "job" | "task">,
): boolean {
  const requirements = requirementsOf(job, task.step);
  return links.some(({ state }) => {
    const profile = state.phase === LinkPhase.Open ? state.profile : undefined;
    return profile !== undefined && isCapable(profile, requirements, task);
  });
}

/**
 * Returns the median of the workers' run times as multiples of those that are expected of their kinds; 1 if no load is
 * known.
 */
export function medianSlowness(
  links: readonly WorkerLinkState[],
  speeds: KindSpeeds,
): number {
  const known = new Float64Array(links.length);
  let count = 0;
  for (const link of links) {
    const slowness = slownessInKind(link, speeds);
    if (slowness === undefined) continue;
    known[count] = slowness;
    count += 1;
  }
  if (count === 0) return 1;
  // Numbers of a typed array are sorted without calls of a comparison function.
  return known.subarray(0, count).sort()[Math.floor(count / 2)] ?? 1;
}

/** Returns whether a worker is far slower than the median worker, apart from the difference of their kinds. */
export function isSlowWorker(
  link: WorkerLinkState,
  median: number,
  speeds: KindSpeeds,
): boolean {
  const slowness = slownessInKind(link, speeds);
  return slowness !== undefined && slowness > SLOW_FACTOR * median;
}

/** Returns the run time of tasks at a worker as a multiple of that at its kind; undefined without a load. */
function slownessInKind(
  { state }: WorkerLinkState,
  speeds: KindSpeeds,
): number | undefined {
  if (state.phase !== LinkPhase.Open || state.load === undefined) {
    return undefined;
  }
  const { load: { slowness }, profile } = state;
  // An idle worker of a slow kind reports 1, too.
  if (profile === undefined || slowness <= 1) return slowness;
  return Math.max(1, slowness / speeds.relativeRunTime(profile));
}

/**
 * Returns the free millicores of a worker, less the penalty for another zone; `EXCLUDED` if it gets no task now. Slower
 * kinds and cold workers come after all others: they get what those have no capacity for, so that cold workers get
 * tasks by degrees after their zone is restored.
 */
function preferenceFor(
  options: WorkerChoiceOptions,
  requirements: WorkerRequirements,
  link: WorkerLinkState,
): number {
  const { now, statistics, attempts, speeds, job, task } = options;
  const { state, detector } = link;
  if (now < link.avoidUntil || state.phase !== LinkPhase.Open) return EXCLUDED;
  if (link.isEvacuated) return EXCLUDED;
  const { load, profile } = state;
  if (load?.isTakingWork !== true || profile === undefined) return EXCLUDED;
  const isSilent = state.unansweredSince !== undefined &&
    now >= state.unansweredSince + SILENCE_MILLISECONDS;
  if (isSilent) return EXCLUDED;
  const { resources } = task.step;
  // Most links of a busy fleet are excluded here, before the costlier conditions.
  if (!isWithin(resources, load.free)) return EXCLUDED;
  if (!isCapable(profile, requirements, task)) return EXCLUDED;
  const unreported = attempts.unreportedResources(
    link.address,
    load.requestsTaken,
  );
  const free = unreported === NO_RESOURCES
    ? load.free
    : subtractResources(load.free, unreported);
  if (!isWithin(resources, free)) return EXCLUDED;
  if (isBehindOthers(load, options, link.address)) return EXCLUDED;
  if (isAtStepLimit(options, link.address)) return EXCLUDED;
  // A task that has failed is no more a probe task than one of a larger job: a further failure can fail its job.
  const isProbed = !detector.mayBeOutlier ||
    !detector.isOutlier(statistics.meanFailureRate) ||
    detector.isProbeTaskDue(now, job.tasks.length + task.failures);
  if (!isProbed) return EXCLUDED;
  const isSlow = isSlowWorker(link, statistics.medianSlowness, speeds);
  if (isSlow && now < link.nextProbeAt) return EXCLUDED;
  const isNear = link.availabilityZone === options.availabilityZone;
  const kindTier = speeds.relativeRunTime(profile) - 1;
  const tier = load.isCold === true ? COLD_TIER + kindTier : kindTier;
  return free.processorMillicores - TIER_MILLICORES * tier -
    (isNear ? 0 : OTHER_ZONE_PENALTY_MILLICORES);
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
  requirements: WorkerRequirements,
  { step }: DispatchTask,
): boolean {
  return meetsRequirements(profile, requirements) &&
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

function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
