/**
 * Calls between processes by tRPC over lasting connections.
 */
export * from "./trpc_peers.ts";
