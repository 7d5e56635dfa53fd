/**
 * A hash that is the same in every process and version, for the assignment of shards and the ranking of
 * processes. The same names are hashed repeatedly while a shard has no owner, so results are cached.
 */
import { createHash } from "node:crypto";

/** Number of cached hashes at which the cache is cleared. */
const MAXIMUM_CACHED = 20_000;
const cache = new Map<string, number>();

/** Returns the first 32 bits of the SHA-256 digest of a text. */
export function stableHash(text: string): number {
  const known = cache.get(text);
  if (known !== undefined) return known;
  const hash = createHash("sha256").update(text).digest().readUInt32BE(0);
  if (cache.size >= MAXIMUM_CACHED) cache.clear();
  cache.set(text, hash);
  return hash;
}

/** Mixes two hashes of 32 bits into one with the finalizer of MurmurHash3, for rendezvous hashing. */
export function combineHashes(left: number, right: number): number {
  let mixed = left ^ right;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
