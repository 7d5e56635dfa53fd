/**
 * Order in which waiting work is served and refused under overload.
 */
export * from "./capacity_floor.ts";
export * from "./urgency.ts";
