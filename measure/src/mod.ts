/**
 * A whole system of real processes on loopback, for experiments and tests.
 */
export * from "./local_system.ts";
