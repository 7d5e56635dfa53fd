/**
 * Claims of shards. A sidecar claims a shard when the shard has no owner, or one that departed or is
 * unreachable, and the sidecar is the preferred owner of the shard. A sidecar also claims the shards that
 * a draining owner hands over to it.
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

/** Collaborators and limits of a `ShardClaimer`. */
export interface ShardClaimerOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly membership: FleetMembership;
  readonly shardCount: number;
  /** Number of sidecars that own shards at the same time. */
  readonly ownerCount: number;
}

/** Time that the membership must be unchanged before shards are claimed. */
const MEMBERSHIP_SETTLE_MILLISECONDS: Milliseconds = 500;
/** Time between two searches for shards without an owner. */
const CLAIM_CHECK_MILLISECONDS: Milliseconds = 20;
/** Time after a claim before the next search for shards without an owner. */
const CLAIM_RETRY_MILLISECONDS: Milliseconds = 1_000;
/** Time for an owner to refresh its claim after this process found that the log dropped unread records. */
const REFRESH_TIMEOUT_MILLISECONDS: Milliseconds = 10_000;

/** Appends the claims of one owner to the log. */
export class ShardClaimer {
  readonly #options: ShardClaimerOptions;
  #membershipChangedAt: Milliseconds = 0;
  #checkedAt: Milliseconds = -Infinity;
  #claimedAt: Milliseconds = -Infinity;
  #isStopped = false;

  constructor(options: ShardClaimerOptions) {
    this.#options = options;
  }

  /** Delays claims until the membership has settled after a change. */
  handleMembershipChange(): void {
    this.#membershipChangedAt = this.#options.collector.now;
  }

  /** Stops claiming. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Claims shards that a draining owner hands over. */
  claimHandedOver(shards: readonly ShardEpoch[]): void {
    const claims = shards.map(({ shard, epoch }) => ({
      shard,
      replaces: epoch,
    }));
    this.#appendClaim(ClaimReason.Handover, claims);
  }

  /** Claims the shards that this owner may claim now. */
  tick(): void {
    if (!this.#mayClaim()) return;
    this.#checkedAt = this.#options.collector.now;
    const claimable = this.#claimableShards();
    const { heartbeats } = this.#options.membership;
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
    const { membership, shardCount } = this.#options;
    const claimable: ShardNumber[] = [];
    for (let shard = 0; shard < shardCount; shard += 1) {
      const owner = membership.view.ownership.find(shard)?.owner;
      const isOwned = owner !== undefined &&
        membership.view.find(owner) !== undefined &&
        membership.heartbeats.isReachable(owner);
      if (!isOwned) claimable.push(shard);
    }
    return claimable;
  }

  #mayClaim(): boolean {
    const { collector, membership } = this.#options;
    if (this.#isStopped) return false;
    const hasSettled = collector.now - this.#membershipChangedAt >=
      MEMBERSHIP_SETTLE_MILLISECONDS;
    const isTooSoon =
      collector.now - this.#claimedAt < CLAIM_RETRY_MILLISECONDS ||
      collector.now - this.#checkedAt < CLAIM_CHECK_MILLISECONDS;
    return membership.isMember && hasSettled &&
      !isTooSoon && membership.view.lastReadToEndAt !== undefined;
  }

  #candidates(): readonly ProcessIdentifier[] {
    const { membership, ownerCount } = this.#options;
    const reachable = membership.view.sidecars()
      .map(({ joined }) => joined.process)
      .filter((process) =>
        membership.heartbeats.isReachable(process) &&
        !membership.heartbeats.isLeaving(process)
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
    const { membership, self } = this.#options;
    const ownership = membership.view.ownership.find(shard);
    if (preferredOwner(shard, candidates) !== self) return;
    if (!membership.view.ownership.isEpochKnown(shard)) {
      claims.unseen.push({ shard, replaces: UNCLAIMED_EPOCH });
      return;
    }
    const replaces = membership.view.ownership.epochOf(shard);
    const list = ownership === undefined ? claims.unowned : claims.ownerless;
    list.push({ shard, replaces });
  }

  /** Claims shards of which the log has no record any more, once the time for a refresh has passed. */
  #appendUnseenClaim(claims: readonly ShardClaim[]): void {
    const { collector, membership } = this.#options;
    const { view } = membership;
    const detectedAt = view.gapDetectedAt ?? collector.now;
    if (collector.now - detectedAt < REFRESH_TIMEOUT_MILLISECONDS) return;
    const unseenSince = Math.max(
      ...claims.map(({ shard }) => view.ownership.unseenSince(shard)),
    );
    this.#appendClaim(ClaimReason.Takeover, claims, { unseenSince });
  }

  /** Returns the offset up to which the log was read, if this is enough to validate every claim. */
  #proofOf(claims: readonly ShardClaim[]): Pick<ShardsClaimed, "readTo"> {
    const { ownership, nextOffset } = this.#options.membership.view;
    const areAllValid = claims.every(({ shard, replaces }) =>
      ownership.isEpochKnown(shard) && ownership.epochOf(shard) === replaces
    );
    return areAllValid ? { readTo: nextOffset } : {};
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
