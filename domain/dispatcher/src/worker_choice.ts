/**
 * Which worker gets the next task: the one with the most processor time free, among those that may run
 * it. A worker that fails far more than its peers gets a trickle. When nothing is free a task may wait at
 * a worker where none waits, so that room is used the moment it comes free; what waits at the entry can
 * still be placed elsewhere, overtaken by what is more urgent, or refused.
 */
import {
  isWithin,
  type Milliseconds,
  subtractResources,
  type WorkerProfile,
} from "@eelgrassfront/model";
import type { DispatchJob, DispatchTask } from "./dispatch_job.ts";
import { type AttemptBook, PlacementKind } from "./attempt_book.ts";
import { LinkPhase, type WorkerLinkState } from "./worker_link_state.ts";

/**
 * How much more a worker in another availability zone must have free to be chosen: the room of two or
 * three tasks, so that traffic between zones is spent only where it evens out the load.
 */
const OTHER_ZONE_MILLICORES = 8_000;

/** A worker for a task. */
export interface WorkerChoice {
  readonly link: WorkerLinkState;
  readonly session: number;
  readonly placement: PlacementKind;
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
  /** Processor time that is free, less what another availability zone costs. */
  readonly preference: number;
  readonly hasRoom: boolean;
  readonly isNothingWaiting: boolean;
}

/** Chooses a worker; undefined when the task must wait at the entry. */
export function chooseWorker(
  options: WorkerChoiceOptions,
): WorkerChoice | undefined {
  const candidates = usableWorkers(options);
  const withRoom = candidates.filter(({ hasRoom }) => hasRoom);
  const best = freest(withRoom, options.task.avoidedAddress);
  if (best !== undefined) return choiceOf(best, PlacementKind.Immediate);
  const toWaitAt = candidates.filter(({ link, isNothingWaiting }) =>
    isNothingWaiting && options.attempts.countWaiting(link.address) === 0
  );
  const next = freest(toWaitAt, options.task.avoidedAddress);
  return next === undefined ? undefined : choiceOf(next, PlacementKind.MayWait);
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

function usableWorkers(options: WorkerChoiceOptions): readonly Candidate[] {
  const { now, links, attempts, job, task } = options;
  const open = links.filter(({ avoidUntil }) => now >= avoidUntil);
  const meanRate = mean(open.map(({ failures }) => failures.rate));
  return open.flatMap((link): readonly Candidate[] => {
    const { state } = link;
    if (state.phase !== LinkPhase.Open) return [];
    const { load, profile } = state;
    if (load === undefined || profile === undefined) return [];
    if (!load.isTakingWork || !isSuitable(profile, job, task)) return [];
    if (isCrowded(options, link.address)) return [];
    const { failures } = link;
    const isOutlier = failures.isOutlier(meanRate);
    if (isOutlier && !failures.isTrialDue(now, job.tasks.length)) return [];
    const free = subtractResources(
      subtractResources(load.free, load.waiting),
      attempts.unconfirmed(link.address, load.requestsTaken),
    );
    const isNear = link.availabilityZone === options.availabilityZone;
    return [{
      link,
      session: state.session,
      preference: free.processorMillicores -
        (isNear ? 0 : OTHER_ZONE_MILLICORES),
      hasRoom: isWithin(task.step.resources, free),
      isNothingWaiting: load.waiting.processorMillicores === 0,
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

function choiceOf(
  { link, session }: Candidate,
  placement: PlacementKind,
): WorkerChoice {
  return { link, session, placement };
}

function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
