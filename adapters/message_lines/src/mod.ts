/**
 * A front end that drives decisions with one JSON message per line.
 */
export * from "./line_front_end.ts";
