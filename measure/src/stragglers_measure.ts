/**
 * What stragglers cost when one of eleven backend servers runs everything ten times as long. Stragglers
 * are waited for and never started a second time.
 */
import { measureFaultyWorker } from "./faulty_worker.ts";
import type { MeasureOptions } from "./policies_measure.ts";
import type { PolicyFigures } from "./policy_table.ts";

const SLOWDOWN = 10;

/** Measures a backend server whose tasks are stragglers. */
export function measureStragglers(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  return measureFaultyWorker((backendServer) => {
    backendServer.slowdown = SLOWDOWN;
  }, options);
}
