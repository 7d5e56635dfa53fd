/**
 * State machine of the owner role.
 */
export * from "./owner_decisions.ts";
export type { JobWaiter } from "./job.ts";
