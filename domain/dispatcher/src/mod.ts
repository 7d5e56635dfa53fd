/**
 * Scheduling of best-effort jobs by an entry.
 */
export * from "./dispatcher_decisions.ts";
