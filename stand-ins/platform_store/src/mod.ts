/**
 * Stand-in for the platform's store.
 */
export * from "./keyed_topic.ts";
export * from "./store_server.ts";
