/**
 * Division of a runner's slots among the owners. Every owner computes the same division from the log, so
 * that the owners need no messages to agree on it.
 */
import type { ProcessIdentifier } from "@eelgrassfront/model";

/** An owner and the number of its shards, to which its expected load is proportional. */
export interface OwnerWeight {
  readonly owner: ProcessIdentifier;
  readonly shards: number;
}

/** The runner whose slots are divided, and the owners. */
export interface SlotDivision {
  readonly runner: ProcessIdentifier;
  /** Position of the runner in the order in which runners joined. */
  readonly rank: number;
  readonly slots: number;
  /** All owners, in the same order everywhere. */
  readonly owners: readonly OwnerWeight[];
}

/** Fractional part of the golden ratio: the fractional parts of its multiples spread evenly between 0 and 1. */
const GOLDEN_FRACTION = 0.618_033_988_749_895;

/**
 * Returns the number of a runner's slots that belong to an owner. An owner has no slots of the runner on
 * its own VM. The bounds between owners are rounded with a different offset at each runner, so that each
 * owner has its share over all runners.
 */
export function quotaOf(
  owner: ProcessIdentifier,
  { runner, rank, slots, owners }: SlotDivision,
): number {
  const sharing = owners.filter((candidate) => candidate.owner !== runner);
  const total = shardsOf(sharing);
  const position = sharing.findIndex((candidate) => candidate.owner === owner);
  const own = sharing[position];
  if (own === undefined || total === 0) return 0;
  const offset = (rank * GOLDEN_FRACTION) % 1;
  const before = shardsOf(sharing.slice(0, position));
  const boundAt = (shards: number) =>
    Math.floor(slots * shards / total + offset);
  return boundAt(before + own.shards) - boundAt(before);
}

function shardsOf(owners: readonly OwnerWeight[]): number {
  return owners.reduce((sum, { shards }) => sum + shards, 0);
}
