/**
 * State machine of a sidecar that runs tasks on a worker for the entries.
 */
export * from "./worker_guard_decisions.ts";
