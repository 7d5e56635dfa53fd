/**
 * Local systems and experiments.
 */
export * from "./local_system.ts";
