/**
 * Effect of a broken backend server, one of eleven, that fails every task immediately: the first minute
 * after the fault.
 */
import { measureFaultyBackendServer } from "./faulty_backend_server.ts";
import type { MeasureOptions } from "./policies_measure.ts";
import type { PolicyFigures } from "./policy_table.ts";

/** Measures the effect of a backend server that fails every task. */
export function measureBrokenWorkers(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  return measureFaultyBackendServer((backendServer) => {
    backendServer.isFailing = true;
  }, options);
}
