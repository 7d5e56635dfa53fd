/**
 * Operating system signals as inputs.
 */
export * from "./process_signals.ts";
