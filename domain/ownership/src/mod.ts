/**
 * Shards, ownership epochs, and claims that are resolved by log order.
 */
export * from "./ownership_table.ts";
export * from "./shard.ts";
export * from "./stable_hash.ts";
