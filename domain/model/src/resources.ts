/**
 * Resources of tasks and workers, as placement, queueing and admission account for them.
 */

/** An amount of each resource. */
export interface Resources {
  /** Millicores: thousandths of a processor core. */
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** Zero of each resource. */
export const NO_RESOURCES: Resources = {
  processorMillicores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/** Whether the available resources cover a need. */
export function isWithin(need: Resources, available: Resources): boolean {
  return need.processorMillicores <= available.processorMillicores &&
    need.memoryMegabytes <= available.memoryMegabytes &&
    need.accelerators <= available.accelerators;
}

/** Returns the sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
  return {
    processorMillicores: left.processorMillicores + right.processorMillicores,
    memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** Returns the first amount minus the second. The result may be negative. */
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
