/**
 * An HTTP server on loopback that the stand-ins share.
 */
export * from "./loopback_server.ts";
