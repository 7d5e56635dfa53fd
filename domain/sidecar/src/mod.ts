/**
 * State machine of a sidecar process: an owner and a runner that share one view of the fleet.
 */
export * from "./sidecar_decisions.ts";
