/**
 * Which jobs are taken in, and which are refused at once.
 */
export * from "./admission.ts";
