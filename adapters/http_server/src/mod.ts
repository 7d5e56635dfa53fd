/**
 * Parts that the project's HTTP servers share.
 */
export * from "./bearer_token.ts";
export * from "./http_listener.ts";
export * from "./json_answer.ts";
