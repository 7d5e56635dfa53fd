/**
 * A child process of a test rig.
 */
export * from "./child_process.ts";
