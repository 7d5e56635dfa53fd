/**
 * The argument of a call is checked as its schema did, whichever field is missing or odd: one that lets a request
 * without a sender through could be answered to the wrong process.
 */
import { test } from "node:test";
import type { ProcessIdentifier } from "@eelgrassfront/model";
import { expect } from "earl";
import * as fastCheck from "fast-check";
import * as zod from "zod";
import { parseEnvelope, type PeerMessage } from "./peer_router.ts";

const SEED = 20_261_206;
const RUNS = 20_000;

const identifier = zod.custom<ProcessIdentifier>((value) =>
  typeof value === "string" && value.includes("~")
);
const envelopeSchema = zod.object({
  from: identifier,
  to: identifier,
  request: zod.custom<number>(Number.isSafeInteger),
  message: zod.custom<PeerMessage>((value) =>
    typeof value === "object" && value !== null && "kind" in value &&
    typeof value.kind === "string"
  ),
});

const oddValue = fastCheck.constantFrom<unknown>(
  undefined,
  null,
  1,
  -1,
  1.5,
  2 ** 53,
  "a",
  "",
  "~",
  "a~b",
  [],
  {},
  { kind: 1 },
  { kind: "" },
);

const envelope = fastCheck.record({
  from: orOdd(fastCheck.constant<unknown>("entry-1~a")),
  to: orOdd(fastCheck.constant<unknown>("sidecar-1~b")),
  request: orOdd(fastCheck.integer()),
  message: orOdd(fastCheck.constant<unknown>({ kind: "run-task", task: 1 })),
  later: fastCheck.string(),
}, { requiredKeys: [] });

test("the argument of a call is accepted and rejected as by its schema, without unknown fields", () => {
  let accepted = 0;
  fastCheck.assert(
    fastCheck.property(fastCheck.oneof(envelope, oddValue), (value) => {
      const expected = envelopeSchema.safeParse(value);
      if (!expected.success) {
        expect(() => parseEnvelope(value)).toThrow();
        return;
      }
      accepted += 1;
      expect(parseEnvelope(value)).toEqual(expected.data);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  expect(accepted > RUNS / 100).toEqual(true);
});

function orOdd(
  arbitrary: fastCheck.Arbitrary<unknown>,
): fastCheck.Arbitrary<unknown> {
  return fastCheck.oneof({ weight: 5, arbitrary }, {
    weight: 1,
    arbitrary: oddValue,
  });
}
