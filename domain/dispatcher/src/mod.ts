/**
 * Decisions of the entry that runs best-effort jobs.
 */
export * from "./dispatcher_decisions.ts";
