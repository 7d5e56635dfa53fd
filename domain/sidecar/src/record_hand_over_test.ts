/**
 * Start records must not go to the runner beside the owner of their shard: one death would then take
 * both the decision and its evidence, and the next owner counts on the opposite.
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
import { RecordHandOver, RecordHandOverPhase } from "./record_hand_over.ts";

const SELF: ProcessIdentifier = "sidecar-1~a";
const OWNER: ProcessIdentifier = "sidecar-2~a";
const OTHER: ProcessIdentifier = "sidecar-3~a";
const FOURTH: ProcessIdentifier = "sidecar-4~a";
const OWNED_SHARD: ShardNumber = 4;
const OTHER_SHARD: ShardNumber = 5;

test("the owner of a shard is not given the records of that shard", () => {
  const rig = new Rig([SELF, OWNER, OTHER]);
  rig.handOver.begin([recordOf(OWNED_SHARD), recordOf(OTHER_SHARD)]);
  const sent = rig.handOutAll();
  for (const { peer, shards } of sent) {
    expect(peer === OWNER && shards.includes(OWNED_SHARD)).toEqual(false);
  }
  expect(sent.flatMap(({ shards }) => shards).length).toEqual(2);
  expect(rig.handOver.phase).toEqual(RecordHandOverPhase.Taken);
});

test("the owner before the present one is not given the records of its time", () => {
  const rig = new Rig([SELF, OWNER, OTHER, FOURTH], [takenOver()]);
  rig.handOver.begin([recordOf(OWNED_SHARD)]);
  expect(rig.handOutAll()).toEqual([{ peer: FOURTH, shards: [OWNED_SHARD] }]);
});

test("records that only their owner could take are given up", () => {
  const rig = new Rig([SELF, OWNER]);
  rig.handOver.begin([recordOf(OWNED_SHARD), recordOf(OTHER_SHARD)]);
  const sent = rig.handOutAll();
  expect(sent).toEqual([{ peer: OWNER, shards: [OTHER_SHARD] }]);
  expect(rig.handOver.phase).toEqual(RecordHandOverPhase.GivenUp);
});

interface Sent {
  readonly peer: ProcessIdentifier;
  readonly shards: readonly ShardNumber[];
}

class Rig {
  readonly handOver: RecordHandOver;
  readonly #collector = new OutputCollector();

  constructor(
    members: readonly ProcessIdentifier[],
    later: readonly LogRecord[] = [],
  ) {
    const collector = this.#collector;
    const follower = new FleetMembership({
      self: SELF,
      role: Role.Sidecar,
      timing: DEFAULT_TIMING,
      ownerCount: 1,
      collector,
    });
    collector.begin(0);
    follower.handleLogInput(
      createLogRead([
        ...members.map((member) => createMemberJoined(member)),
        claimed(),
        ...later,
      ]),
    );
    this.handOver = new RecordHandOver({ self: SELF, collector, follower });
  }

  /** Lets every message be taken, until none is sent any more. */
  handOutAll(): readonly Sent[] {
    const sent: Sent[] = [];
    for (;;) {
      this.#collector.begin(0);
      this.handOver.tick();
      const output = this.#collector.finish().find(({ kind }) =>
        kind === OutputKind.SendRequest
      );
      if (output?.kind !== OutputKind.SendRequest) return sent;
      const { message, peer, request } = output;
      if (message.kind !== PeerRequestKind.HandOverRecords) return sent;
      sent.push({ peer, shards: message.records.map(({ shard }) => shard) });
      this.handOver.takeReply(request, { kind: PeerReplyKind.RecordsAccepted });
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

function claimed(): LogRecord {
  return {
    kind: LogRecordKind.ShardsClaimed,
    claimant: OWNER,
    reason: ClaimReason.Unowned,
    claims: [{ shard: OWNED_SHARD, replaces: 0 }],
  };
}

/** The claim of another sidecar, after four members and the claim of the owner at offset 5. */
function takenOver(): LogRecord {
  return {
    kind: LogRecordKind.ShardsClaimed,
    claimant: OTHER,
    reason: ClaimReason.Takeover,
    claims: [{ shard: OWNED_SHARD, replaces: 5 }],
  };
}
