/**
 * Versions of the operators' configuration, ordered by the platform's log.
 */
export * from "./configuration_tracker.ts";
