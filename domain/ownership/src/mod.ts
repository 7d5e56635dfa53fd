/**
 * Shards, ownership epochs and claims settled by log order.
 */
export * from "./ownership_table.ts";
export * from "./shard.ts";
export * from "./stable_hash.ts";
