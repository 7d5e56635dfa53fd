/**
 * How the slots of a runner are divided among the owners. Every owner works out the same division from
 * the log, so that no message is needed to agree on it.
 */
import type { ProcessIdentifier } from "@eelgrassfront/model";

/** What the division depends on. */
export interface SlotDivision {
  readonly runner: ProcessIdentifier;
  /** Position of the runner in the order in which runners joined. */
  readonly rank: number;
  readonly slots: number;
  /** All owners, in the same order everywhere. */
  readonly owners: readonly ProcessIdentifier[];
}

/**
 * Returns the slots of a runner that belong to an owner. An owner has none of the runner on its own VM;
 * slots that do not divide evenly go to other owners at each runner.
 */
export function quotaOf(
  owner: ProcessIdentifier,
  { runner, rank, slots, owners }: SlotDivision,
): number {
  const sharing = owners.filter((candidate) => candidate !== runner);
  const position = sharing.indexOf(owner);
  if (position < 0) return 0;
  const remainder = slots % sharing.length;
  const turn = (position + rank * remainder) % sharing.length;
  return Math.floor(slots / sharing.length) + (turn < remainder ? 1 : 0);
}
