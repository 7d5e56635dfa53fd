/**
 * Numbered events written with roarr.
 */
export * from "./rate_limited_journal.ts";
export * from "./roarr_journal.ts";
