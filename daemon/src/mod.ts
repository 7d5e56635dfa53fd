/**
 * The parts of the daemon that other programs embed: the event loop and its ports.
 */
export * from "./process_loop.ts";
