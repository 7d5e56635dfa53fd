/**
 * A front end that drives decisions with one JSON message a line.
 */
export * from "./line_front_end.ts";
