/**
 * How the slots of a runner are divided among the owners. Every owner works out the same division from
 * the log, so that no message is needed to agree on it.
 */
import type { ProcessIdentifier } from "@eelgrassfront/model";

/** An owner and the number of shards it owns, by which its load is expected. */
export interface OwnerWeight {
  readonly owner: ProcessIdentifier;
  readonly shards: number;
}

/** What the division depends on. */
export interface SlotDivision {
  readonly runner: ProcessIdentifier;
  /** Position of the runner in the order in which runners joined. */
  readonly rank: number;
  readonly slots: number;
  /** All owners, in the same order everywhere. */
  readonly owners: readonly OwnerWeight[];
}

/** Fractional part of the golden ratio: its multiples spread evenly between 0 and 1. */
const GOLDEN_FRACTION = 0.618_033_988_749_895;

/**
 * Returns the slots of a runner that belong to an owner. An owner has none of the runner on its own VM.
 * The bounds between owners are rounded from another offset at each runner, so that over all runners
 * each owner has its share.
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
