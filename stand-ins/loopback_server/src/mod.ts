/**
 * HTTP server on loopback, the base of the stand-ins.
 */
export * from "./loopback_server.ts";
