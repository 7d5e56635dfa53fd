/**
 * Small deployment of the users' platform on loopback.
 */
export * from "./platform_system.ts";
export * from "./run_recorder.ts";
