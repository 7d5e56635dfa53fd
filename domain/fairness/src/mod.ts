/**
 * Fair queues for the places where work waits.
 */
export * from "./fair_queue.ts";
export * from "./queue_discipline.ts";
export * from "./shares.ts";
export type { QueuedSubmission } from "./submission_queue.ts";
