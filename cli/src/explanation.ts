/**
 * Types of the explanations of reasons and events.
 */

/** Meaning of a reason or an event, and the action that it calls for. */
export interface Explanation {
  readonly meaning: string;
  readonly action: string;
}

/** Kinds of explained terms. */
export enum ExplainedKind {
  Event = "event",
  Failed = "failed",
  NotRun = "not-run",
  Unknown = "unknown",
  Rejected = "rejected",
  TaskRefusal = "task-refusal",
  Retry = "retry",
}
