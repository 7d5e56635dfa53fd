/**
 * Explanations of reasons and events: what each means and what to do about it.
 */

/** What something means, and what to do about it. */
export interface Explanation {
  readonly meaning: string;
  readonly action: string;
}

/** What is explained. */
export enum ExplainedKind {
  Event = "event",
  Failed = "failed",
  NotRun = "not-run",
  Unknown = "unknown",
  Rejected = "rejected",
  TaskRefusal = "task-refusal",
  Retry = "retry",
}
