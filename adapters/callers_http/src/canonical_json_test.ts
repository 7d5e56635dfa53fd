/**
 * Checks that equal content has the same canonical text, regardless of the order of its keys.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import fastCheck from "fast-check";
import { canonicalJson } from "./canonical_json.ts";

const SEED = 20_240_118;
const RUNS = 500;

/** Returns the same value with the keys of every object in reverse order. */
function reverseKeys(value: unknown): unknown {
  if (typeof value !== "object" || value === null) return value;
  if (Array.isArray(value)) return value.map(reverseKeys);
  const entries = Object.entries(value).reverse();
  return Object.fromEntries(
    entries.map(([key, inner]) => [key, reverseKeys(inner)]),
  );
}

describe("canonicalJson", () => {
  it("preserves the value, and ignores the order of keys", () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.jsonValue({ maxDepth: 5 }), (generated) => {
        const value: unknown = JSON.parse(JSON.stringify(generated));
        const text = canonicalJson(value);
        expect(JSON.parse(text)).toEqual(value);
        expect(canonicalJson(reverseKeys(value))).toEqual(text);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("distinguishes different values", () => {
    const texts = [{ key: 1 }, { key: "1" }, [1], ["1"], { other: 1 }, null, {}]
      .map(canonicalJson);
    expect(new Set(texts).size).toEqual(texts.length);
  });
});
