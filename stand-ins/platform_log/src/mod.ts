/**
 * Stand-in for the append-only log of the platform.
 */
export * from "./log_server.ts";
export * from "./log_store.ts";
