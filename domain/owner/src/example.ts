/**
 * An owner without shards replies `not-owner` to a status query, and is idle.
 */
import { DEFAULT_TIMING, FleetMembership } from "@eelgrassfront/membership";
import { OutputCollector, PeerRequestKind, Role } from "@eelgrassfront/model";
import { OwnerDecisions } from "@eelgrassfront/owner";

const collector = new OutputCollector();
const shared = {
  self: "sidecar-1~a",
  role: Role.Sidecar,
  timing: DEFAULT_TIMING,
  ownerCount: 3,
  collector,
} as const;
const owner = new OwnerDecisions({
  ...shared,
  membership: new FleetMembership(shared),
  random: () => 0,
  shardCount: 64,
  maximumAnswerBytes: 1_000_000,
});
collector.begin(0);
owner.query({ from: "entry-1~a", request: 1 }, {
  kind: PeerRequestKind.QueryJob,
  shard: 0,
  submission: "assessors/dossier-4711",
});
console.log(
  collector.finish().map((output) =>
    "message" in output ? output.message.kind : output.kind
  ),
  owner.isIdle,
);
// prints: [ 'not-owner' ] true
