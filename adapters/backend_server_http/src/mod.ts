/**
 * Calls to the backend server by HTTP.
 */
export * from "./http_backend_server.ts";
