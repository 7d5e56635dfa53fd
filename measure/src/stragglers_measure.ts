/**
 * Effect of stragglers: one of eleven backend servers takes ten times as long for every task. The
 * dispatcher waits for a straggler and never starts it a second time.
 */
import { measureFaultyBackendServer } from "./faulty_backend_server.ts";
import type { MeasureOptions } from "./policies_measure.ts";
import type { PolicyFigures } from "./policy_table.ts";

const SLOWDOWN = 10;

/** Measures the effect of a backend server whose tasks are all stragglers. */
export function measureStragglers(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  return measureFaultyBackendServer((backendServer) => {
    backendServer.slowdown = SLOWDOWN;
  }, options);
}
