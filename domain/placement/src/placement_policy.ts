/**
 * The ways to choose a runner. The system runs on slot quotas; the others are baselines to measure
 * against.
 */

/** Kinds of placement. */
export enum PlacementPolicyKind {
  /** Each owner fills its quota of every runner's slots, and borrows slots that others leave free. */
  SlotQuota = "slot-quota",
  /** The runner that seems least occupied, with a few tasks waiting at it. */
  LeastLoaded = "least-loaded",
  /** One runner after the other, whatever waits there. */
  RoundRobin = "round-robin",
  /** Any runner, whatever waits there. */
  Random = "random",
}

/** Placement by slot quotas. */
export interface SlotQuotaPlacement {
  readonly kind: PlacementPolicyKind.SlotQuota;
}

/** Placement by carried load. */
export interface LeastLoadedPlacement {
  readonly kind: PlacementPolicyKind.LeastLoaded;
  /** Tasks beyond its slots that one owner lets wait at a runner. */
  readonly waitingPerRunner: number;
}

/** Placement in turn. */
export interface RoundRobinPlacement {
  readonly kind: PlacementPolicyKind.RoundRobin;
}

/** Placement by chance. */
export interface RandomPlacement {
  readonly kind: PlacementPolicyKind.Random;
}

/** Any way to choose a runner. */
export type PlacementPolicy =
  | SlotQuotaPlacement
  | LeastLoadedPlacement
  | RoundRobinPlacement
  | RandomPlacement;

/** The policy that the system runs on. */
export const SLOT_QUOTA_PLACEMENT: PlacementPolicy = {
  kind: PlacementPolicyKind.SlotQuota,
};
