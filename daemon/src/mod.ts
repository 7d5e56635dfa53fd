/**
 * The parts of the daemon that others embed: the loop and its ports.
 */
export * from "./process_loop.ts";
