/**
 * Numbered events written with roarr.
 */
export * from "./roarr_journal.ts";
