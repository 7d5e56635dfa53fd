/**
 * Stand-in for a worker of the platform.
 */
export * from "./platform_worker.ts";
export * from "./worker_runs.ts";
