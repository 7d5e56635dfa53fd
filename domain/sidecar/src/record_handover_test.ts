/**
 * Start records must not be handed to the process that owns their shard: its crash would then lose both the
 * owner's state and the start records, and the next owner relies on having one of them.
 */
import { test } from "node:test";
import { createLogRead, createMemberJoined } from "@eelgrassfront/fixtures";
import { DEFAULT_TIMING, FleetMembership } from "@eelgrassfront/membership";
import {
  ClaimReason,
  type LogRecord,
  LogRecordKind,
  OutputCollector,
  OutputKind,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessIdentifier,
  Role,
  type ShardNumber,
  type StartRecord,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { RecordHandover, RecordHandoverPhase } from "./record_handover.ts";

const SELF: ProcessIdentifier = "sidecar-1~a";
const OWNER: ProcessIdentifier = "sidecar-2~a";
const OTHER: ProcessIdentifier = "sidecar-3~a";
const FOURTH: ProcessIdentifier = "sidecar-4~a";
const OWNED_SHARD: ShardNumber = 4;
const OTHER_SHARD: ShardNumber = 5;

test("the owner of a shard receives no start records of that shard", () => {
  const harness = new RecordHandoverHarness([SELF, OWNER, OTHER]);
  harness.handover.begin([recordOf(OWNED_SHARD), recordOf(OTHER_SHARD)]);
  const sent = harness.acceptAll();
  for (const { peer, shards } of sent) {
    expect(peer === OWNER && shards.includes(OWNED_SHARD)).toEqual(false);
  }
  expect(sent.flatMap(({ shards }) => shards).length).toEqual(2);
  expect(harness.handover.phase).toEqual(RecordHandoverPhase.Accepted);
});

test("the previous owner of a shard receives no start records of that shard", () => {
  const harness = new RecordHandoverHarness([SELF, OWNER, OTHER, FOURTH], [
    createTakeoverClaim(),
  ]);
  harness.handover.begin([recordOf(OWNED_SHARD)]);
  expect(harness.acceptAll()).toEqual([{
    peer: FOURTH,
    shards: [OWNED_SHARD],
  }]);
});

test("records of a shard are abandoned when only its owner could keep them", () => {
  const harness = new RecordHandoverHarness([SELF, OWNER]);
  harness.handover.begin([recordOf(OWNED_SHARD), recordOf(OTHER_SHARD)]);
  const sent = harness.acceptAll();
  expect(sent).toEqual([{ peer: OWNER, shards: [OTHER_SHARD] }]);
  expect(harness.handover.phase).toEqual(RecordHandoverPhase.Abandoned);
});

interface SentBatch {
  readonly peer: ProcessIdentifier;
  readonly shards: readonly ShardNumber[];
}

class RecordHandoverHarness {
  readonly handover: RecordHandover;
  readonly #collector = new OutputCollector();

  constructor(
    members: readonly ProcessIdentifier[],
    later: readonly LogRecord[] = [],
  ) {
    const collector = this.#collector;
    const membership = new FleetMembership({
      self: SELF,
      role: Role.Sidecar,
      timing: DEFAULT_TIMING,
      ownerCount: 1,
      collector,
    });
    collector.begin(0);
    membership.handleLogInput(
      createLogRead([
        ...members.map((member) => createMemberJoined(member)),
        createOwnerClaim(),
        ...later,
      ]),
    );
    this.handover = new RecordHandover({
      self: SELF,
      collector,
      membership,
    });
  }

  /** Accepts every message until no more are sent. */
  acceptAll(): readonly SentBatch[] {
    const sent: SentBatch[] = [];
    for (;;) {
      this.#collector.begin(0);
      this.handover.tick();
      const output = this.#collector.finish().find(({ kind }) =>
        kind === OutputKind.SendRequest
      );
      if (output?.kind !== OutputKind.SendRequest) return sent;
      const { message, peer, request } = output;
      if (message.kind !== PeerRequestKind.HandOverRecords) return sent;
      sent.push({ peer, shards: message.records.map(({ shard }) => shard) });
      this.handover.handleReply(request, {
        kind: PeerReplyKind.RecordsAccepted,
      });
    }
  }
}

function recordOf(shard: ShardNumber): StartRecord {
  return {
    shard,
    submission: `assessors/${shard}`,
    digest: "digest",
    taskIndex: 0,
    epoch: 1,
    attempt: 1,
    isResultDropped: false,
  };
}

function createOwnerClaim(): LogRecord {
  return {
    kind: LogRecordKind.ShardsClaimed,
    claimant: OWNER,
    reason: ClaimReason.Unowned,
    claims: [{ shard: OWNED_SHARD, replaces: 0 }],
  };
}

/** Claim of another sidecar, which replaces the owner's claim at offset 5, after four members. */
function createTakeoverClaim(): LogRecord {
  return {
    kind: LogRecordKind.ShardsClaimed,
    claimant: OTHER,
    reason: ClaimReason.Takeover,
    claims: [{ shard: OWNED_SHARD, replaces: 5 }],
  };
}
