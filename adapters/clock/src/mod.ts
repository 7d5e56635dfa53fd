/**
 * Monotonic clock and alarm.
 */
export * from "./monotonic_clock.ts";
