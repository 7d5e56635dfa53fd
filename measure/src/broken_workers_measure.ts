/**
 * What one of eleven backend servers costs that fails everything at once, in its first minute.
 */
import { measureFaultyWorker } from "./faulty_worker.ts";
import type { MeasureOptions } from "./policies_measure.ts";
import type { PolicyFigures } from "./policy_table.ts";

/** Measures a backend server that fails everything. */
export function measureBrokenWorkers(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  return measureFaultyWorker((backendServer) => {
    backendServer.isFailing = true;
  }, options);
}
