/**
 * Times of the membership protocol. All of them are spans on the local monotonic clock.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Times that every process of a fleet must share. */
export interface MembershipTiming {
  /** Time between two heartbeats to the same peer. */
  readonly heartbeatMilliseconds: Milliseconds;
  /** A peer that has not answered for this long counts as unreachable. */
  readonly unreachableMilliseconds: Milliseconds;
  /** A process that could not confirm its view for this long stops starting tasks. */
  readonly leaseMilliseconds: Milliseconds;
  /** A member that has been unreachable for this long is removed by a record. */
  readonly removalMilliseconds: Milliseconds;
  /** How long runners keep start records, and owners answers. */
  readonly horizonMilliseconds: Milliseconds;
  /** How long the platform's log keeps a record. */
  readonly retentionMilliseconds: Milliseconds;
}

/** Times that meet a takeover within 3 s of a death. */
export const DEFAULT_TIMING: MembershipTiming = {
  heartbeatMilliseconds: 250,
  unreachableMilliseconds: 1_000,
  leaseMilliseconds: 1_000,
  removalMilliseconds: 5_000,
  horizonMilliseconds: 600_000,
  retentionMilliseconds: 86_400_000,
};
