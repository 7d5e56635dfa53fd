/**
 * Decisions of the sidecar that guards a worker.
 */
export * from "./worker_guard_decisions.ts";
