/**
 * What a task requires of its worker beside free capacity.
 */
import type { WorkerDescription } from "./worker_call.ts";

/** Properties that a worker must have to run a task. */
export interface WorkerRequirements {
  readonly service: string;
  readonly requiredLabel?: string;
}

/** Whether a worker has the required properties; without requirements any worker will do. */
export function meetsRequirements(
  worker: Pick<WorkerDescription, "service" | "labels">,
  requirements: WorkerRequirements | undefined,
): boolean {
  if (requirements === undefined) return true;
  const { service, requiredLabel } = requirements;
  return worker.service === service &&
    (requiredLabel === undefined || worker.labels.includes(requiredLabel));
}
