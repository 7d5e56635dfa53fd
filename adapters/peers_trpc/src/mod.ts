/**
 * Calls between processes by tRPC over persistent connections.
 */
export * from "./trpc_peers.ts";
