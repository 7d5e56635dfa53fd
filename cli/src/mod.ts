/**
 * The command-line tool.
 */
export * from "./exit_code.ts";
