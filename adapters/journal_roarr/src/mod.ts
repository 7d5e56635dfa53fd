/**
 * Numbered events written with roarr.
 */
export * from "./bounded_journal.ts";
export * from "./roarr_journal.ts";
