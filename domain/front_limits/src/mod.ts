/**
 * Decides what the clients of an HTTP server may hold: connections, bodies, requests in progress and time.
 */
export * from "./front_connection.ts";
export * from "./front_decision.ts";
export * from "./front_limit_settings.ts";
export * from "./front_limits.ts";
