/**
 * Callers HTTP interface.
 */
export * from "./http_callers.ts";
