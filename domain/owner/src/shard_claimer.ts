/**
 * When an owner claims shards: those that nobody owns and those whose owner is gone, as far as the shard
 * prefers this sidecar, and those that a leaving owner hands over.
 */
import type { FleetMembership } from "@eelgrassfront/membership";
import {
  ClaimReason,
  EventNumber,
  LogRecordKind,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  type ShardClaim,
  type ShardEpoch,
  type ShardNumber,
  type ShardsClaimed,
  UNCLAIMED_EPOCH,
} from "@eelgrassfront/model";
import { ownerCandidates, preferredOwner } from "@eelgrassfront/ownership";

/** What claims need. */
export interface ShardClaimerOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly follower: FleetMembership;
  readonly shardCount: number;
  /** Sidecars that own shards at a time. */
  readonly ownerCount: number;
}

const MEMBERSHIP_SETTLE_MILLISECONDS: Milliseconds = 500;
/** Time between two looks for shards without an owner. */
const CLAIM_CHECK_MILLISECONDS: Milliseconds = 20;
const CLAIM_RETRY_MILLISECONDS: Milliseconds = 1_000;
/** Time in which the owner of a shard refreshes its claim after an outage of the log. */
const REFRESH_TIMEOUT_MILLISECONDS: Milliseconds = 10_000;

/** Claims of one owner. */
export class ShardClaimer {
  readonly #options: ShardClaimerOptions;
  #membershipChangedAt: Milliseconds = 0;
  #checkedAt: Milliseconds = -Infinity;
  #claimedAt: Milliseconds = -Infinity;
  #isStopped = false;

  constructor(options: ShardClaimerOptions) {
    this.#options = options;
  }

  /** Notes that the membership changed; claims wait until it has settled. */
  handleMembershipChange(): void {
    this.#membershipChangedAt = this.#options.collector.now;
  }

  /** Stops claiming. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Claims shards that a leaving owner handed over. */
  claimHandedOver(shards: readonly ShardEpoch[]): void {
    const claims = shards.map(({ shard, epoch }) => ({
      shard,
      replaces: epoch,
    }));
    this.#appendClaim(ClaimReason.HandOver, claims);
  }

  /** Claims what is due. */
  tick(): void {
    if (!this.#mayClaim()) return;
    this.#checkedAt = this.#options.collector.now;
    const claimable = this.#claimableShards();
    const { heartbeats } = this.#options.follower;
    if (claimable.length === 0 || !heartbeats.isMajorityReachable()) return;
    const candidates = this.#candidates();
    if (!candidates.includes(this.#options.self)) return;
    const unowned: ShardClaim[] = [];
    const ownerless: ShardClaim[] = [];
    const unseen: ShardClaim[] = [];
    for (const shard of claimable) {
      this.#classifyClaim(shard, candidates, { unowned, ownerless, unseen });
    }
    this.#appendClaim(ClaimReason.Unowned, unowned);
    this.#appendClaim(ClaimReason.Takeover, ownerless);
    this.#appendUnseenClaim(unseen);
  }

  #claimableShards(): readonly ShardNumber[] {
    const { follower, shardCount } = this.#options;
    const claimable: ShardNumber[] = [];
    for (let shard = 0; shard < shardCount; shard += 1) {
      const owner = follower.view.ownership.find(shard)?.owner;
      const isOwned = owner !== undefined &&
        follower.view.find(owner) !== undefined &&
        follower.heartbeats.isReachable(owner);
      if (!isOwned) claimable.push(shard);
    }
    return claimable;
  }

  #mayClaim(): boolean {
    const { collector, follower } = this.#options;
    if (this.#isStopped) return false;
    const hasSettled = collector.now - this.#membershipChangedAt >=
      MEMBERSHIP_SETTLE_MILLISECONDS;
    const isTooSoon =
      collector.now - this.#claimedAt < CLAIM_RETRY_MILLISECONDS ||
      collector.now - this.#checkedAt < CLAIM_CHECK_MILLISECONDS;
    return follower.isMember && hasSettled &&
      !isTooSoon && follower.view.lastReadToEndAt !== undefined;
  }

  #candidates(): readonly ProcessIdentifier[] {
    const { follower, ownerCount } = this.#options;
    const reachable = follower.view.sidecars()
      .map(({ joined }) => joined.process)
      .filter((process) =>
        follower.heartbeats.isReachable(process) &&
        !follower.heartbeats.isLeaving(process)
      );
    return ownerCandidates(reachable, ownerCount);
  }

  #classifyClaim(
    shard: ShardNumber,
    candidates: readonly ProcessIdentifier[],
    claims: {
      readonly unowned: ShardClaim[];
      readonly ownerless: ShardClaim[];
      readonly unseen: ShardClaim[];
    },
  ): void {
    const { follower, self } = this.#options;
    const ownership = follower.view.ownership.find(shard);
    if (preferredOwner(shard, candidates) !== self) return;
    if (!follower.view.ownership.isEpochKnown(shard)) {
      claims.unseen.push({ shard, replaces: UNCLAIMED_EPOCH });
      return;
    }
    const replaces = follower.view.ownership.epochOf(shard);
    const list = ownership === undefined ? claims.unowned : claims.ownerless;
    list.push({ shard, replaces });
  }

  /** Claims shards of which the log says nothing any more, once nobody refreshed them in time. */
  #appendUnseenClaim(claims: readonly ShardClaim[]): void {
    const { collector, follower } = this.#options;
    const { view } = follower;
    const missedAt = view.gapDetectedAt ?? collector.now;
    if (collector.now - missedAt < REFRESH_TIMEOUT_MILLISECONDS) return;
    const unseenSince = Math.max(
      ...claims.map(({ shard }) => view.ownership.unseenSince(shard)),
    );
    this.#appendClaim(ClaimReason.Takeover, claims, { unseenSince });
  }

  /** How far the log was read, if that is enough to judge the claims. */
  #proofOf(claims: readonly ShardClaim[]): Pick<ShardsClaimed, "readTo"> {
    const { ownership, nextOffset } = this.#options.follower.view;
    const isJudged = claims.every(({ shard, replaces }) =>
      ownership.isEpochKnown(shard) && ownership.epochOf(shard) === replaces
    );
    return isJudged ? { readTo: nextOffset } : {};
  }

  #appendClaim(
    reason: ClaimReason,
    claims: readonly ShardClaim[],
    proof: Pick<ShardsClaimed, "readTo" | "unseenSince"> = this.#proofOf(
      claims,
    ),
  ): void {
    if (claims.length === 0) return;
    const { collector, self } = this.#options;
    this.#claimedAt = collector.now;
    collector.record(EventNumber.ShardsClaimed, "claims shards", {
      context: { reason, shards: claims.length },
    });
    collector.add({
      kind: OutputKind.AppendRecord,
      append: collector.nextRequest(),
      record: {
        kind: LogRecordKind.ShardsClaimed,
        claimant: self,
        reason,
        claims,
        ...proof,
      },
    });
  }
}
