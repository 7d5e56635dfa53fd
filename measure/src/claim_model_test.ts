/**
 * Tests of the models of the claim schemes. A model that hides the weakness of its scheme would distort the
 * comparison with ownership by start records.
 */
import { test } from "node:test";
import { expect } from "earl";
import { ClaimModel } from "./claim_model.ts";
import {
  ClaimFailure,
  ClaimOutcome,
  ClaimScheme,
  SUBMISSIONS,
} from "./claim_scheme.ts";

const SEED = 1;

test("every scheme completes every submission when nothing fails", () => {
  for (
    const scheme of [
      ClaimScheme.ClaimAppend,
      ClaimScheme.MintedTickets,
      ClaimScheme.WitnessCopy,
    ] as const
  ) {
    const run = runModel(scheme, ClaimFailure.None);
    expect(run.outcomes).toEqual(
      Array.from({ length: SUBMISSIONS }, () => ClaimOutcome.Completed),
    );
  }
});

test("a log outage delays the scheme that appends each claim, but not witness copies", () => {
  const slowest = (scheme: ClaimScheme.ClaimAppend | ClaimScheme.WitnessCopy) =>
    Math.max(...runModel(scheme, ClaimFailure.LogOutage).responses);
  expect(slowest(ClaimScheme.ClaimAppend)).toBeGreaterThan(2_000);
  expect(slowest(ClaimScheme.WitnessCopy)).toBeLessThan(100);
});

test("a node failure leaves more outcomes unknown with claims in the log than with witness copies", () => {
  const unknown = (scheme: ClaimScheme.ClaimAppend | ClaimScheme.WitnessCopy) =>
    runModel(scheme, ClaimFailure.NodeFailure).outcomes.filter((outcome) =>
      outcome === ClaimOutcome.Unknown
    ).length;
  expect(unknown(ClaimScheme.ClaimAppend)).toBeGreaterThan(
    unknown(ClaimScheme.WitnessCopy),
  );
});

function runModel(
  scheme:
    | ClaimScheme.ClaimAppend
    | ClaimScheme.MintedTickets
    | ClaimScheme.WitnessCopy,
  failure: ClaimFailure,
) {
  return new ClaimModel(scheme, { seed: SEED, failure }).run();
}
