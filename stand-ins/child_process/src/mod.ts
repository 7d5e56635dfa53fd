/**
 * Child process of a test harness.
 */
export * from "./child_process.ts";
