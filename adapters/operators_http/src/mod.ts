/**
 * Operators' HTTP interface of every process.
 */
export * from "./http_operators.ts";
