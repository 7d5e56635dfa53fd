/**
 * Shards, ownership epochs and claims that log order resolves.
 */
export * from "./ownership_table.ts";
export * from "./shard.ts";
export * from "./stable_hash.ts";
