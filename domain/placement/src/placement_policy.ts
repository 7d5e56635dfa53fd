/**
 * Policies for choosing a runner. The system uses slot quotas; the other policies are baselines for
 * measurements.
 */

/** Kinds of placement policies. */
export enum PlacementPolicyKind {
  /** Each owner fills its quota of every runner's slots and borrows slots that other owners leave free. */
  SlotQuota = "slot-quota",
  /** The runner with the lowest known occupancy; a few tasks may wait there. */
  LeastLoaded = "least-loaded",
  /** Each runner in turn, regardless of its load. */
  RoundRobin = "round-robin",
  /** A random runner, regardless of its load. */
  Random = "random",
}

/** Placement by slot quotas. */
export interface SlotQuotaPlacement {
  readonly kind: PlacementPolicyKind.SlotQuota;
}

/** Placement by the load that runners report in their replies. */
export interface LeastLoadedPlacement {
  readonly kind: PlacementPolicyKind.LeastLoaded;
  /** Number of tasks beyond a runner's slots that one owner lets wait at the runner. */
  readonly waitingPerRunner: number;
}

/** Placement at each runner in turn. */
export interface RoundRobinPlacement {
  readonly kind: PlacementPolicyKind.RoundRobin;
}

/** Placement at random. */
export interface RandomPlacement {
  readonly kind: PlacementPolicyKind.Random;
}

/** Any placement policy. */
export type PlacementPolicy =
  | SlotQuotaPlacement
  | LeastLoadedPlacement
  | RoundRobinPlacement
  | RandomPlacement;

/** The policy that the system uses. */
export const SLOT_QUOTA_PLACEMENT: PlacementPolicy = {
  kind: PlacementPolicyKind.SlotQuota,
};
