/**
 * Assignment of submissions to shards and of shards to owners. A hash of the identifier spreads the
 * submissions over a fixed number of shards. Each shard ranks the owners in an order of its own
 * (rendezvous hashing), so that only the shards of a departed member move to other owners.
 */
import type {
  ProcessIdentifier,
  ShardNumber,
  SubmissionIdentifier,
} from "@eelgrassfront/model";
import { processName } from "@eelgrassfront/model";
import { stableHash } from "./stable_hash.ts";

/** Returns the shard of a submission, from 0 to `shardCount - 1`. */
export function shardOf(
  submission: SubmissionIdentifier,
  shardCount: number,
): ShardNumber {
  return stableHash(submission) % shardCount;
}

/** Returns the processes that may own shards: the `count` that rank highest in the fleet. */
export function ownerCandidates(
  processes: readonly ProcessIdentifier[],
  count: number,
): readonly ProcessIdentifier[] {
  return rank("owner", processes).slice(0, count);
}

/** Returns the candidate that ranks highest for a shard, or undefined when there is none. */
export function preferredOwner(
  shard: ShardNumber,
  candidates: readonly ProcessIdentifier[],
): ProcessIdentifier | undefined {
  return rank(`shard ${shard}`, candidates)[0];
}

function rank(
  purpose: string,
  processes: readonly ProcessIdentifier[],
): readonly ProcessIdentifier[] {
  return processes
    .map((process) => ({
      process,
      weight: stableHash(`${purpose} ${processName(process)}`),
    }))
    .sort((left, right) =>
      right.weight - left.weight ||
      (left.process < right.process ? -1 : 1)
    )
    .map(({ process }) => process);
}
