/**
 * Maps that forget by age and by weight.
 */
export * from "./recent_map.ts";
