/**
 * HTTP interface for the operators of a process.
 */
export * from "./http_operators.ts";
