/**
 * A sidecar process: owner and runner on one view of the fleet.
 */
export * from "./sidecar_decisions.ts";
