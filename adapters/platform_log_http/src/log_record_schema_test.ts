/**
 * Checks which records of the log are read, and which ones every process skips.
 */
import { describe, it } from "node:test";
import { ClaimReason, LogRecordKind, Role } from "@eelgrassfront/model";
import { expect } from "earl";
import { isLogRecord } from "./log_record_schema.ts";

const OFFSET = 9;
const JOINED = {
  kind: LogRecordKind.MemberJoined,
  process: "entry-0~a",
  role: Role.Entry,
  availabilityZone: "zone-1",
  address: "127.0.0.1:1",
};
const CLAIMED = {
  kind: LogRecordKind.ShardsClaimed,
  claimant: "sidecar-0~a",
  reason: ClaimReason.Unowned,
  claims: [{ shard: 0, replaces: 0 }],
};
const PUBLISHED = {
  kind: LogRecordKind.ConfigurationPublished,
  publication: "first",
  replaces: 0,
  publishedBy: "operator",
  configuration: { kindsOfWork: [{ name: "check" }], teams: [], limits: {} },
};

describe("isLogRecord", () => {
  it("accepts records, including those with fields of a newer version", () => {
    for (const record of [JOINED, CLAIMED, PUBLISHED]) {
      expect(isLogRecord(record, OFFSET)).toEqual(true);
      expect(isLogRecord({ ...record, added: 1 }, OFFSET)).toEqual(true);
    }
  });

  it("rejects values that would stop the state machine", () => {
    const faulty: readonly unknown[] = [
      undefined,
      "text",
      {},
      { ...JOINED, kind: "another-kind" },
      { ...JOINED, role: "leader" },
      { ...JOINED, process: "entry-0" },
      { ...CLAIMED, claims: [{ shard: "0", replaces: 0 }] },
      { ...CLAIMED, claims: undefined },
      { ...PUBLISHED, configuration: { kindsOfWork: {} } },
      { ...PUBLISHED, configuration: undefined },
    ];
    for (const value of faulty) {
      expect(isLogRecord(value, OFFSET)).toEqual(false);
    }
  });

  it("accepts a reference to the record before", () => {
    const refresh = { ...PUBLISHED, firstOffset: OFFSET - 1 };
    expect(isLogRecord({ ...refresh, readTo: OFFSET }, OFFSET)).toEqual(true);
  });

  for (const offset of [Number.MAX_SAFE_INTEGER, OFFSET + 1]) {
    it(`rejects a reference to offset ${offset}, which would keep later records out`, () => {
      const faulty = [
        { ...JOINED, firstOffset: offset },
        { ...CLAIMED, claims: [{ shard: 0, replaces: offset }] },
        { ...CLAIMED, readTo: offset },
        { ...CLAIMED, unseenSince: offset },
        { ...PUBLISHED, replaces: offset },
        { ...PUBLISHED, firstOffset: offset },
        { ...PUBLISHED, readTo: offset },
      ];
      const accepted = faulty.filter((record) => isLogRecord(record, OFFSET));
      expect(accepted).toEqual([]);
    });
  }
});
