/**
 * Interfaces between the decisions and the adapters.
 */
export * from "./port.ts";
