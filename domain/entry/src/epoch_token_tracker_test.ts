/**
 * The epoch token never passes a claim that may still be granted.
 */
import { test } from "node:test";
import { ClaimReason, type ProcessIdentifier } from "@eelgrassfront/model";
import type { Ownership } from "@eelgrassfront/ownership";
import { expect } from "earl";
import { EpochTokenTracker } from "./epoch_token_tracker.ts";

const OWNER: ProcessIdentifier = "sidecar~1";

test("a claim that is not granted limits the token", () => {
  const tokens = new EpochTokenTracker();
  tokens.recordClaim({ shard: 0, epoch: 5 });
  expect(tokens.tokenAt(9, [ownership(5)])).toEqual(4);
  tokens.recordGrant(0, 5);
  expect(tokens.tokenAt(9, [ownership(5)])).toEqual(8);
});

test("a claim that was replaced before its grant limits the token too", () => {
  const tokens = new EpochTokenTracker();
  tokens.recordClaim({ shard: 0, epoch: 5 });
  tokens.recordClaim({ shard: 0, epoch: 8 });
  expect(tokens.tokenAt(12, [ownership(8)])).toEqual(4);
  tokens.recordGrant(0, 5);
  expect(tokens.tokenAt(12, [ownership(8)])).toEqual(7);
  tokens.recordGrant(0, 8);
  expect(tokens.tokenAt(12, [ownership(8)])).toEqual(11);
});

test("a grant that is known before its claim is read counts", () => {
  const tokens = new EpochTokenTracker();
  tokens.recordGrant(0, 8);
  tokens.recordClaim({ shard: 0, epoch: 8 });
  expect(tokens.tokenAt(9, [ownership(8)])).toEqual(8);
});

function ownership(epoch: number): Ownership {
  return {
    shard: 0,
    epoch,
    owner: OWNER,
    reason: ClaimReason.Takeover,
    lastRecordOffset: epoch,
  };
}
