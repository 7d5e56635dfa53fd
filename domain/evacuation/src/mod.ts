/**
 * The availability zones that the operators have evacuated.
 */
export * from "./zone_evacuations.ts";
