/**
 * Selection of the runner for each task.
 */
export * from "./outlier_detector.ts";
export * from "./placement_policy.ts";
export * from "./runner_pool.ts";
export type { OwnerWeight } from "./slot_quota.ts";
