/**
 * Resources of a task and of a worker: what placement, queueing and admission count.
 */

/** An amount of each resource. */
export interface Resources {
  /** Thousandths of a processor core. */
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** Nothing of any resource. */
export const NO_RESOURCES: Resources = {
  processorMillicores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/** Whether a need can be met from what is available. */
export function isWithin(need: Resources, available: Resources): boolean {
  return need.processorMillicores <= available.processorMillicores &&
    need.memoryMegabytes <= available.memoryMegabytes &&
    need.accelerators <= available.accelerators;
}

/** The sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
  return {
    processorMillicores: left.processorMillicores + right.processorMillicores,
    memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** What is left of the first amount without the second; it may be negative. */
export function subtractResources(
  left: Resources,
  right: Resources,
): Resources {
  return {
    processorMillicores: left.processorMillicores - right.processorMillicores,
    memoryMegabytes: left.memoryMegabytes - right.memoryMegabytes,
    accelerators: left.accelerators - right.accelerators,
  };
}
