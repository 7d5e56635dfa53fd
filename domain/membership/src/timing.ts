/**
 * Times of the membership protocol. All of them are durations on the local monotonic clock.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Durations that must be the same in every process of a fleet. */
export interface MembershipTiming {
  /** Time between two heartbeats to the same peer. */
  readonly heartbeatMilliseconds: Milliseconds;
  /** A peer that has not replied for this long counts as unreachable. */
  readonly unreachableMilliseconds: Milliseconds;
  /** A process that has not confirmed its view for this long starts no more tasks. */
  readonly leaseMilliseconds: Milliseconds;
  /** A member that has not replied for this long is removed by a log record. */
  readonly removalMilliseconds: Milliseconds;
  /** How long runners keep start records and owners keep answers. */
  readonly horizonMilliseconds: Milliseconds;
  /** How long the platform's log keeps a record. */
  readonly retentionMilliseconds: Milliseconds;
}

/** Defaults that allow the takeover of shards within 3 s of their owner's failure. */
export const DEFAULT_TIMING: MembershipTiming = {
  heartbeatMilliseconds: 250,
  unreachableMilliseconds: 1_000,
  leaseMilliseconds: 1_000,
  removalMilliseconds: 5_000,
  horizonMilliseconds: 600_000,
  retentionMilliseconds: 86_400_000,
};
