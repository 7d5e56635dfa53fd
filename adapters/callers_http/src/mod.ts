/**
 * HTTP interface for callers.
 */
export * from "./http_callers.ts";
