/**
 * Interfaces between the state machines and the adapters.
 */
export * from "./port.ts";
