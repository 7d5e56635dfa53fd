/**
 * Applies two racing claims of a shard: the first in the log is valid, and its offset is the epoch.
 */
import { ClaimReason, LogRecordKind } from "@eelgrassfront/model";
import { OwnershipTable, shardOf } from "@eelgrassfront/ownership";

const table = new OwnershipTable();
const shard = shardOf("assessors/dossier-4711", 1);
for (const [offset, claimant] of [[7, "one~a"], [8, "two~b"]] as const) {
  table.apply(offset, {
    kind: LogRecordKind.ShardsClaimed,
    claimant,
    reason: ClaimReason.Unowned,
    claims: [{ shard, replaces: 0 }],
  });
}
console.log(table.find(shard)?.owner, table.epochOf(shard));
// prints: one~a 7
