/**
 * Stand-in for the platform's append-only log.
 */
export * from "./log_server.ts";
export * from "./log_store.ts";
