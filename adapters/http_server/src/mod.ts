/**
 * Shared parts of the project's HTTP servers.
 */
export * from "./bearer_token.ts";
export * from "./http_listener.ts";
export * from "./json_response.ts";
