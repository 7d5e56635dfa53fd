/**
 * Maps that forget by age and by weight.
 */
export * from "./expiring_map.ts";
