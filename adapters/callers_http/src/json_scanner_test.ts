/**
 * Checks that the scanner finds faults that `JSON.parse` accepts: duplicate keys, integers that would
 * lose digits, and nesting that is too deep.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import fastCheck from "fast-check";
import { findJsonFault, JsonFaultKind, MAXIMUM_DEPTH } from "./json_scanner.ts";

const SEED = 20_240_117;
const RUNS = 500;

describe("findJsonFault", () => {
  it("finds no fault in output of JSON.stringify", () => {
    const integersAreSafe = fastCheck.jsonValue({ maxDepth: 5 }).filter(
      (value) => JSON.stringify(value).match(/\d{16}/) === null,
    );
    fastCheck.assert(
      fastCheck.property(integersAreSafe, (value) => {
        expect(findJsonFault(JSON.stringify(value))).toEqual(undefined);
        expect(findJsonFault(JSON.stringify(value, null, 2))).toEqual(
          undefined,
        );
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("finds a duplicate key at any depth", () => {
    const depth = fastCheck.nat({ max: 5 });
    fastCheck.assert(
      fastCheck.property(fastCheck.string(), depth, (key, levels) => {
        const encoded = JSON.stringify(key);
        const twice = `{${encoded}: 1, "other\\"key": {}, ${encoded}: [2]}`;
        const text = `${'[{"a": '.repeat(levels)}${twice}${
          "}]".repeat(levels)
        }`;
        JSON.parse(text);
        expect(findJsonFault(text)).toEqual({
          kind: JsonFaultKind.DuplicateKey,
          found: key,
        });
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("compares keys after their escapes are decoded", () => {
    const fault = findJsonFault('{"team": 1, "\\u0074eam": 2}');
    expect(fault).toEqual({ kind: JsonFaultKind.DuplicateKey, found: "team" });
  });

  it("accepts the same key in different objects, and as a value", () => {
    const text = '{"a": {"a": "a"}, "b": ["a", "a", {"a": 1}, {"a": 1}]}';
    expect(findJsonFault(text)).toEqual(undefined);
  });

  it("finds numbers that JSON.parse would change", () => {
    for (
      const number of ["9007199254740993", "-12345678901234567890", "1e999"]
    ) {
      expect(findJsonFault(`[1, ${number}]`)).toEqual({
        kind: JsonFaultKind.InexactNumber,
        found: number,
      });
    }
    expect(
      findJsonFault('[9007199254740991, 0.1, 1e3, "12345678901234567890"]'),
    )
      .toEqual(undefined);
  });

  it("finds nesting that is too deep", () => {
    const nested = (levels: number) =>
      `${"[".repeat(levels)}${"]".repeat(levels)}`;
    expect(findJsonFault(nested(MAXIMUM_DEPTH))).toEqual(undefined);
    expect(findJsonFault(nested(MAXIMUM_DEPTH + 1))?.kind).toEqual(
      JsonFaultKind.NestedTooDeep,
    );
  });
});
