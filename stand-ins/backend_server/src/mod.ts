/**
 * Stand-in for a backend server.
 */
export * from "./backend_server.ts";
