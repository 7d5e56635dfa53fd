/**
 * Admission control of submissions.
 */
export * from "./admission.ts";
export * from "./retry_budget.ts";
export * from "./run_time_estimator.ts";
