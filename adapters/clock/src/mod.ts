/**
 * Monotonic time and alarms.
 */
export * from "./monotonic_clock.ts";
