/**
 * The models of the ways to claim a submission keep their own promises.
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

test("without a failure every scheme completes every submission", () => {
  for (
    const scheme of [
      ClaimScheme.ClaimAppend,
      ClaimScheme.MintedTickets,
      ClaimScheme.WitnessCopy,
    ] as const
  ) {
    const run = runOf(scheme, ClaimFailure.None);
    expect(run.outcomes).toEqual(
      Array.from({ length: SUBMISSIONS }, () => ClaimOutcome.Completed),
    );
  }
});

test("an outage of the log holds up claims by append and nothing else", () => {
  const slowest = (scheme: ClaimScheme.ClaimAppend | ClaimScheme.WitnessCopy) =>
    Math.max(...runOf(scheme, ClaimFailure.LogOutage).responses);
  expect(slowest(ClaimScheme.ClaimAppend)).toBeGreaterThan(2_000);
  expect(slowest(ClaimScheme.WitnessCopy)).toBeLessThan(100);
});

test("a death leaves its claims unknown where only the log knows them", () => {
  const unknown = (scheme: ClaimScheme.ClaimAppend | ClaimScheme.WitnessCopy) =>
    runOf(scheme, ClaimFailure.OneDeath).outcomes.filter((outcome) =>
      outcome === ClaimOutcome.Unknown
    ).length;
  expect(unknown(ClaimScheme.ClaimAppend)).toBeGreaterThan(
    unknown(ClaimScheme.WitnessCopy),
  );
});

function runOf(
  scheme:
    | ClaimScheme.ClaimAppend
    | ClaimScheme.MintedTickets
    | ClaimScheme.WitnessCopy,
  failure: ClaimFailure,
) {
  return new ClaimModel(scheme, { seed: SEED, failure }).run();
}
