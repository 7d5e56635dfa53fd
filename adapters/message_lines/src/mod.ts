/**
 * A front end that drives a state machine with one JSON message per line.
 */
export * from "./line_front_end.ts";
