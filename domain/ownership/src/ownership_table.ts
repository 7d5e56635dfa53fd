/**
 * Who owns each shard, folded from claims in log order. A claim is valid only when it names the epoch
 * that it replaces; of two racing claims the first in the log wins, and every reader sees the same.
 */
import {
  ClaimReason,
  type Epoch,
  type LogOffset,
  type ProcessIdentifier,
  type ShardClaim,
  type ShardNumber,
  type ShardsClaimed,
  UNCLAIMED_EPOCH,
} from "@eelgrassfront/model";

/** The owner of a shard and the epoch since which it owns it. */
export interface Ownership {
  readonly shard: ShardNumber;
  readonly epoch: Epoch;
  readonly owner: ProcessIdentifier;
  readonly reason: ClaimReason;
  /** Offset of the newest record that carries this ownership. */
  readonly lastRecordOffset: LogOffset;
}

/** Ownership of all shards as far as the log has been read. */
export class OwnershipTable {
  readonly #ownerships = new Map<ShardNumber, Ownership>();

  /** The ownership of a shard, or undefined when no claim of it is known. */
  find(shard: ShardNumber): Ownership | undefined {
    return this.#ownerships.get(shard);
  }

  /** The epoch of a shard; 0 when no claim of it is known. */
  epochOf(shard: ShardNumber): Epoch {
    return this.#ownerships.get(shard)?.epoch ?? UNCLAIMED_EPOCH;
  }

  /** Every known ownership. */
  all(): Iterable<Ownership> {
    return this.#ownerships.values();
  }

  /**
   * Applies one record; call in log order.
   *
   * @returns the ownerships that changed hands, which a refresh never does
   */
  apply(offset: LogOffset, record: ShardsClaimed): readonly Ownership[] {
    if (record.reason === ClaimReason.Refresh) {
      for (const claim of record.claims) this.#refresh(offset, record, claim);
      return [];
    }
    return record.claims.flatMap((claim) => this.#claim(offset, record, claim));
  }

  #claim(
    offset: LogOffset,
    record: ShardsClaimed,
    claim: ShardClaim,
  ): readonly Ownership[] {
    if (claim.replaces !== this.epochOf(claim.shard)) return [];
    const ownership = {
      shard: claim.shard,
      epoch: offset,
      owner: record.claimant,
      reason: record.reason,
      lastRecordOffset: offset,
    };
    this.#ownerships.set(claim.shard, ownership);
    return [ownership];
  }

  #refresh(
    offset: LogOffset,
    record: ShardsClaimed,
    claim: ShardClaim,
  ): void {
    const known = this.#ownerships.get(claim.shard);
    const isSame = known?.epoch === claim.replaces;
    if (known !== undefined && !isSame) return;
    this.#ownerships.set(claim.shard, {
      shard: claim.shard,
      epoch: claim.replaces,
      owner: record.claimant,
      reason: known?.reason ?? ClaimReason.Refresh,
      lastRecordOffset: offset,
    });
  }
}
