/**
 * HTTP client of the backend server.
 */
export * from "./http_backend_server.ts";
