/**
 * Fair queues for the places where work waits.
 */
export * from "./fair_queue.ts";
