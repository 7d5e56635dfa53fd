/**
 * Which jobs are taken in, and which are refused at once.
 */
export * from "./admission.ts";
export * from "./retry_budget.ts";
export * from "./run_time_estimator.ts";
