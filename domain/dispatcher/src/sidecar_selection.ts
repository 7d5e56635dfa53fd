/**
 * Selection of the sidecars with which an entry keeps sessions. Each sidecar serves a fixed number of
 * entries, most of them in its own availability zone, so that the messages of one process do not grow with
 * the fleet. Every process computes the same selection from the list of members by rendezvous hashing: when
 * a member joins or leaves, only its own links change.
 */
import { type FleetMember, processName } from "@eelgrassfront/model";
import { combineHashes, stableHash } from "@eelgrassfront/ownership";

/** Entries that one sidecar serves. With fewer entries, every entry uses every sidecar. */
export const ENTRIES_PER_SIDECAR = 5;
/**
 * The most of them in the sidecar's own zone. The others are in other zones, so that a zone with more work
 * than capacity can use that of the others.
 */
const ENTRIES_IN_ZONE = 3;

/** The members from which an entry selects. */
export interface SidecarSelectionOptions {
  readonly self: FleetMember;
  readonly entries: readonly FleetMember[];
  readonly sidecars: readonly FleetMember[];
}

interface RankedEntry {
  readonly hash: number;
  readonly availabilityZone: string;
}

/** Returns the addresses of the sidecars that the entry uses. */
export function selectSidecars(
  { self, entries, sidecars }: SidecarSelectionOptions,
): ReadonlySet<string> {
  const own = rankedEntry(self);
  const others = entries
    .filter(({ process }) => processName(process) !== processName(self.process))
    .map(rankedEntry);
  return new Set(
    sidecars
      .filter((sidecar) => isServed(own, others, sidecar))
      .map(({ address }) => address),
  );
}

/** Whether the entry is among the highest ranked of its group at the sidecar: the same zone, or all others. */
function isServed(
  own: RankedEntry,
  others: readonly RankedEntry[],
  sidecar: FleetMember,
): boolean {
  const { availabilityZone } = sidecar;
  const sidecarHash = stableHash(processName(sidecar.process));
  const ownRank = combineHashes(own.hash, sidecarHash);
  const isInZone = own.availabilityZone === availabilityZone;
  let entriesInZone = isInZone ? 1 : 0;
  let rankedHigher = 0;
  for (const other of others) {
    const isOtherInZone = other.availabilityZone === availabilityZone;
    if (isOtherInZone) entriesInZone += 1;
    if (isOtherInZone !== isInZone) continue;
    if (combineHashes(other.hash, sidecarHash) > ownRank) rankedHigher += 1;
  }
  const placesInZone = Math.min(ENTRIES_IN_ZONE, entriesInZone);
  const entriesElsewhere = others.length + 1 - entriesInZone;
  const placesElsewhere = ENTRIES_PER_SIDECAR - placesInZone;
  const unusedElsewhere = Math.max(0, placesElsewhere - entriesElsewhere);
  return rankedHigher <
    (isInZone ? placesInZone + unusedElsewhere : placesElsewhere);
}

function rankedEntry({ process, availabilityZone }: FleetMember): RankedEntry {
  return { hash: stableHash(processName(process)), availabilityZone };
}
