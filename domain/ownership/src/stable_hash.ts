/**
 * A hash that is the same in every process and version, for shards and for preferences between
 * processes. Names are hashed again and again while a shard has no owner, so the newest are remembered.
 */
import { createHash } from "node:crypto";

const MAXIMUM_CACHED = 20_000;
const cache = new Map<string, number>();

/** Returns 32 bits of the SHA-256 digest of the text. */
export function stableHash(text: string): number {
  const known = cache.get(text);
  if (known !== undefined) return known;
  const hash = createHash("sha256").update(text).digest().readUInt32BE(0);
  if (cache.size >= MAXIMUM_CACHED) cache.clear();
  cache.set(text, hash);
  return hash;
}
