/**
 * A hash that is the same in every process and version, for shards and for preferences between
 * processes.
 */
import { createHash } from "node:crypto";

/** Returns 32 bits of the SHA-256 digest of the text. */
export function stableHash(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
