/**
 * Whether any worker could ever run a job. A job that none could run is refused at once, with the reason: no worker
 * is suitable, or those that are suitable are in evacuated availability zones.
 */
import { JobRefusalReason } from "@eelgrassfront/model";
import type { DispatchJob } from "./dispatch_job.ts";
import { isCapableWorkerKnown } from "./worker_choice.ts";
import { isTakingWork, type WorkerLinkState } from "./worker_link_state.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** Why a job is refused that no worker could run. */
export type CapabilityRefusal =
  | JobRefusalReason.NoCapableWorker
  | JobRefusalReason.ZonesEvacuated;

/**
 * Returns why a job must be refused, or undefined when a known worker could run it or too little is known. Sidecars
 * that are not in use are asked first where they may have a suitable worker.
 */
export function findCapabilityRefusal(
  job: DispatchJob,
  workerLinks: WorkerLinks,
): CapabilityRefusal | undefined {
  const links = workerLinks.all();
  const areAllEvacuated = isEverywhereEvacuated(links);
  if (!areAllEvacuated && !links.some(isTakingWork)) return undefined;
  const reason = findReason(job, links, areAllEvacuated);
  if (reason === undefined) return undefined;
  // A label may be rare, and other zones may have workers, so a worker that is not in use may be suitable.
  const isWorthAsking = reason === JobRefusalReason.ZonesEvacuated ||
    job.tasks.some(({ step }) => step.requiredLabel !== undefined);
  if (isWorthAsking && workerLinks.hasUnknownWorkers) {
    workerLinks.useAll();
    return undefined;
  }
  return reason;
}

/** Returns whether some task of a job could run only at workers in evacuated zones. */
export function isConfinedToEvacuatedZones(
  job: DispatchJob,
  links: readonly WorkerLinkState[],
): boolean {
  if (!links.some(({ isEvacuated }) => isEvacuated)) return false;
  const available = links.filter(({ isEvacuated }) => !isEvacuated);
  return !isRunnable(job, available) && isRunnable(job, links);
}

function findReason(
  job: DispatchJob,
  links: readonly WorkerLinkState[],
  areAllEvacuated: boolean,
): CapabilityRefusal | undefined {
  if (areAllEvacuated || isConfinedToEvacuatedZones(job, links)) {
    return JobRefusalReason.ZonesEvacuated;
  }
  return isRunnable(job, links) ? undefined : JobRefusalReason.NoCapableWorker;
}

function isEverywhereEvacuated(links: readonly WorkerLinkState[]): boolean {
  return links.length > 0 && links.every(({ isEvacuated }) => isEvacuated);
}

function isRunnable(
  job: DispatchJob,
  links: readonly WorkerLinkState[],
): boolean {
  return job.tasks.every((task) => isCapableWorkerKnown({ links, job, task }));
}
