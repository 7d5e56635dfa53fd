/**
 * State machine of the entry role.
 */
export * from "./entry_decisions.ts";
