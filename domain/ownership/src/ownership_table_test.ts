/**
 * Racing claims and retention: a reader that knows the epoch of a shard agrees with a reader of the
 * whole log.
 */
import { test } from "node:test";
import {
  ClaimReason,
  type Epoch,
  type LogOffset,
  LogRecordKind,
  type ProcessIdentifier,
  processIdentifier,
  type ShardsClaimed,
} from "@eelgrassfront/model";
import { expect } from "earl";
import * as fastCheck from "fast-check";
import { OwnershipTable } from "./ownership_table.ts";

const SEED = 4;
const RUNS = 2_000;
const FIRST_OFFSET = 1;
const SHARD = 0;

test("of two racing claims the first in the log wins", () => {
  const table = new OwnershipTable();
  table.apply(1, claim("first", 0));
  table.apply(2, claim("left", 1));
  expect(table.apply(3, claim("right", 1))).toEqual([]);
  expect(table.find(SHARD)?.epoch).toEqual(2);
});

test("a reader without older records accepts no claim of a shard of unknown epoch", () => {
  const table = new OwnershipTable();
  table.markMissingBefore(7);
  expect(table.apply(7, claim("late", 0))).toEqual([]);
  expect(table.find(SHARD)).toEqual(undefined);
  table.apply(8, refresh("owner", 3, 7));
  expect(table.find(SHARD)?.owner).toEqual(processName("owner"));
});

test("a claim with its read offset gives a late reader the epoch of the shard", () => {
  const table = new OwnershipTable();
  table.markMissingBefore(7);
  table.apply(8, { ...claim("owner", 3), readTo: 7 });
  expect(table.find(SHARD)?.epoch).toEqual(8);
});

test("a shard without any record left in the log can be claimed", () => {
  const late = new OwnershipTable();
  late.markMissingBefore(7);
  const whole = new OwnershipTable();
  whole.apply(3, claim("gone", 0));
  const record = { ...claim("next", 0), unseenSince: 7 };
  expect(late.apply(9, record).length).toEqual(1);
  expect(whole.apply(9, record).length).toEqual(1);
});

test("a claim with `unseenSince` is invalid when the owner has refreshed the shard", () => {
  const whole = new OwnershipTable();
  whole.apply(3, claim("owner", 0));
  whole.apply(8, refresh("owner", 3, 8));
  expect(whole.apply(9, { ...claim("next", 0), unseenSince: 7 })).toEqual([]);
});

test("readers that know the epoch agree, whichever records they missed", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(racer(), { minLength: 2, maxLength: 25 }),
      fastCheck.array(fastCheck.integer({ min: 1, max: 25 }), { minLength: 1 }),
      check,
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

interface Racer {
  readonly kind: "claim" | "claim-with-offset" | "refresh" | "unseen";
  /** Number of records that the racer had not read. */
  readonly lag: number;
}

function racer(): fastCheck.Arbitrary<Racer> {
  return fastCheck.record({
    kind: fastCheck.constantFrom(
      "claim",
      "claim-with-offset",
      "refresh",
      "unseen",
    ),
    lag: fastCheck.integer({ min: 0, max: 4 }),
  });
}

function check(racers: readonly Racer[], starts: readonly number[]): void {
  const log = writeLog(racers);
  for (const start of starts) {
    const late = new OwnershipTable();
    late.markMissingBefore(start);
    for (let offset = start; offset <= log.length; offset += 1) {
      const record = log[offset - FIRST_OFFSET];
      if (record === undefined) break;
      late.apply(offset, record);
      if (!late.isEpochKnown(SHARD)) continue;
      expect(late.find(SHARD)?.epoch).toEqual(epochAt(log, offset + 1));
    }
  }
}

function writeLog(racers: readonly Racer[]): readonly ShardsClaimed[] {
  const log: ShardsClaimed[] = [];
  for (const one of racers) log.push(recordOf(one, log));
  return log;
}

function recordOf(
  { kind, lag }: Racer,
  log: readonly ShardsClaimed[],
): ShardsClaimed {
  const end = log.length + FIRST_OFFSET;
  const readTo = Math.max(FIRST_OFFSET, end - lag);
  const table = readWhole(log, readTo);
  const known = table.find(SHARD);
  switch (kind) {
    case "claim":
      return claim(`p${end}`, known?.epoch ?? 0);
    case "claim-with-offset":
      return { ...claim(`p${end}`, known?.epoch ?? 0), readTo };
    case "refresh":
      return known === undefined
        ? claim(`p${end}`, 0)
        : { ...refresh("", known.epoch, readTo), claimant: known.owner };
    case "unseen":
      return { ...claim(`p${end}`, 0), unseenSince: readTo };
  }
}

function epochAt(
  log: readonly ShardsClaimed[],
  readTo: LogOffset,
): Epoch | undefined {
  return readWhole(log, readTo).find(SHARD)?.epoch;
}

function readWhole(
  log: readonly ShardsClaimed[],
  readTo: LogOffset,
): OwnershipTable {
  const table = new OwnershipTable();
  log.slice(0, readTo - FIRST_OFFSET).forEach((record, index) => {
    table.apply(index + FIRST_OFFSET, record);
  });
  return table;
}

function claim(name: string, replaces: Epoch): ShardsClaimed {
  return {
    kind: LogRecordKind.ShardsClaimed,
    claimant: processName(name),
    reason: ClaimReason.Takeover,
    claims: [{ shard: SHARD, replaces }],
  };
}

function refresh(
  name: string,
  epoch: Epoch,
  readTo: LogOffset,
): ShardsClaimed {
  return { ...claim(name, epoch), reason: ClaimReason.Refresh, readTo };
}

function processName(name: string): ProcessIdentifier {
  return processIdentifier(name, "1");
}
