/**
 * Whole versions of the operators' configuration, settled by log order.
 */
export * from "./configuration_tracker.ts";
