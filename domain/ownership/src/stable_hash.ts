/**
 * A hash that is the same in every process and version, for shards and for preferences between
 * processes: FNV-1a over UTF-16 code units, then the finalizer of MurmurHash3, which spreads keys that
 * differ in their last letters only.
 */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/** Returns 32 bits that the text determines. */
export function stableHash(text: string): number {
  let hash = OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
  }
  return finalize(hash);
}

function finalize(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
