/**
 * Maps that evict entries by age and by weight.
 */
export * from "./expiring_map.ts";
