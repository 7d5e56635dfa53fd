/**
 * Fair queues for waiting tasks.
 */
export * from "./fair_queue.ts";
export * from "./queue_discipline.ts";
export * from "./shares.ts";
export type { QueuedSubmission } from "./submission_queue.ts";
