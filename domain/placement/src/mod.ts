/**
 * Which runner gets the next task.
 */
export * from "./runner_pool.ts";
