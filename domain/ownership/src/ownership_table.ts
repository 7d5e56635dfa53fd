/**
 * The owner of each shard, folded from the claims in log order. A claim is valid only if it names the
 * epoch that it replaces. Of two racing claims the first in the log wins, and all readers agree.
 *
 * A reader that starts after retention has dropped older records cannot validate every claim by itself.
 * The reader buffers the claims of a shard until a record states the epoch of the shard at an offset
 * from which on the reader has read every record. Such a record is a refresh, or a claim whose claimant
 * had read up to that offset. When the log has no record of a shard any more, a claim names the offset
 * since which its claimant saw no record of the shard, and every reader can check this.
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

/** The owner of a shard, with the epoch of its ownership. */
export interface Ownership {
  readonly shard: ShardNumber;
  readonly epoch: Epoch;
  readonly owner: ProcessIdentifier;
  readonly reason: ClaimReason;
  /** Offset of the newest record of this ownership: its claim or a refresh. */
  readonly lastRecordOffset: LogOffset;
  /** The epoch that this one replaced; absent when the reader did not see the claim. */
  readonly replaces?: Epoch;
  /** The ownership before this one; absent when the reader did not see it. */
  readonly previous?: PreviousOwnership;
}

/** An ownership that was replaced by a later one. */
export interface PreviousOwnership {
  readonly owner: ProcessIdentifier;
  readonly epoch: Epoch;
  /** The epoch that this ownership had replaced; absent when the reader did not see the claim. */
  readonly replaces?: Epoch;
}

/** One claim of a record, with the offset of the record. */
interface StoredClaim {
  readonly offset: LogOffset;
  readonly record: ShardsClaimed;
  readonly claim: ShardClaim;
}

/** The epoch of a shard at an offset of the log. */
interface KnownEpoch {
  readonly shard: ShardNumber;
  readonly epoch: Epoch;
  /** The epoch follows from the records below this offset. */
  readonly readTo: LogOffset;
}

const FIRST_OFFSET: LogOffset = 1;

/** Ownership of all shards, up to the offset that has been read. */
export class OwnershipTable {
  readonly #ownerships = new Map<ShardNumber, Ownership>();
  readonly #bufferedClaims = new Map<ShardNumber, StoredClaim[]>();
  readonly #shardsWithEpoch = new Set<ShardNumber>();
  /** Offset from which on no record is missing. */
  #completeFrom: LogOffset = FIRST_OFFSET;

  /** Returns the ownership of a shard, or undefined when no claim of the shard is known. */
  find(shard: ShardNumber): Ownership | undefined {
    return this.#ownerships.get(shard);
  }

  /** Returns the epoch of a shard, or 0 when no claim of the shard is known. */
  epochOf(shard: ShardNumber): Epoch {
    return this.#ownerships.get(shard)?.epoch ?? UNCLAIMED_EPOCH;
  }

  /** Returns every known ownership. */
  all(): Iterable<Ownership> {
    return this.#ownerships.values();
  }

  /** Whether this reader knows the epoch of the shard, and so can validate claims of it. */
  isEpochKnown(shard: ShardNumber): boolean {
    return this.#completeFrom === FIRST_OFFSET ||
      this.#shardsWithEpoch.has(shard);
  }

  /** Returns the offset since which this reader saw no record of a shard of unknown epoch. */
  unseenSince(shard: ShardNumber): LogOffset {
    const last = this.#bufferedClaims.get(shard)?.at(-1);
    return last === undefined ? this.#completeFrom : last.offset + 1;
  }

  /** Marks the records below an offset as missing: they are no longer in the log and were not read. */
  markMissingBefore(offset: LogOffset): void {
    this.#completeFrom = offset;
    this.#shardsWithEpoch.clear();
    this.#bufferedClaims.clear();
  }

  /**
   * Applies one record; records must be applied in log order.
   *
   * @returns the ownerships that changed, as far as this reader can tell
   */
  apply(offset: LogOffset, record: ShardsClaimed): readonly Ownership[] {
    return record.claims.flatMap((claim) =>
      this.#applyClaim({ offset, record, claim })
    );
  }

  #applyClaim(stored: StoredClaim): readonly Ownership[] {
    if (stored.record.reason === ClaimReason.Refresh) {
      return this.#refresh(stored);
    }
    if (this.isEpochKnown(stored.claim.shard)) return this.#validate(stored);
    if (this.#isProvedUnseen(stored)) return this.#setOwnership(stored);
    const { readTo, unseenSince } = stored.record;
    this.#bufferClaim(stored);
    if (readTo === undefined || readTo < this.#completeFrom) return [];
    if (unseenSince !== undefined) return [];
    const { shard, replaces: epoch } = stored.claim;
    return this.#resolveClaims({ shard, epoch, readTo });
  }

  #validate(stored: StoredClaim): readonly Ownership[] {
    const { claim, record } = stored;
    const isValid = record.unseenSince === undefined
      ? claim.replaces === this.epochOf(claim.shard)
      : this.#lastRecordOf(claim.shard) < record.unseenSince;
    return isValid ? this.#setOwnership(stored) : [];
  }

  #isProvedUnseen({ record, claim }: StoredClaim): boolean {
    const { unseenSince } = record;
    return unseenSince !== undefined && unseenSince >= this.#completeFrom &&
      this.#lastRecordOf(claim.shard) < unseenSince &&
      this.unseenSince(claim.shard) <= unseenSince;
  }

  #lastRecordOf(shard: ShardNumber): LogOffset {
    return this.#ownerships.get(shard)?.lastRecordOffset ?? 0;
  }

  #bufferClaim(stored: StoredClaim): void {
    const { shard } = stored.claim;
    const claims = this.#bufferedClaims.get(shard) ?? [];
    claims.push(stored);
    this.#bufferedClaims.set(shard, claims);
  }

  #setOwnership({ offset, record, claim }: StoredClaim): readonly Ownership[] {
    const previous = this.#previousOf(claim);
    const ownership: Ownership = {
      shard: claim.shard,
      epoch: offset,
      owner: record.claimant,
      reason: record.reason,
      lastRecordOffset: offset,
      ...(record.unseenSince === undefined ? { replaces: claim.replaces } : {}),
      ...(previous === undefined ? {} : { previous }),
    };
    this.#ownerships.set(claim.shard, ownership);
    this.#shardsWithEpoch.add(claim.shard);
    this.#bufferedClaims.delete(claim.shard);
    return [ownership];
  }

  #previousOf({ shard, replaces }: ShardClaim): PreviousOwnership | undefined {
    const known = this.#ownerships.get(shard);
    if (known?.epoch !== replaces) return undefined;
    const { owner, epoch } = known;
    return known.replaces === undefined
      ? { owner, epoch }
      : { owner, epoch, replaces: known.replaces };
  }

  #refresh({ offset, record, claim }: StoredClaim): readonly Ownership[] {
    const { shard, replaces: epoch } = claim;
    const known = this.#ownerships.get(shard);
    const isKnown = this.isEpochKnown(shard);
    const isStale = isKnown
      ? known?.epoch !== epoch
      : known !== undefined && known.epoch > epoch;
    if (isStale) return [];
    const ownership: Ownership = known?.epoch === epoch
      ? { ...known, lastRecordOffset: offset }
      : {
        shard,
        epoch,
        owner: record.claimant,
        reason: ClaimReason.Refresh,
        lastRecordOffset: offset,
      };
    this.#ownerships.set(shard, ownership);
    const readTo = record.readTo ?? 0;
    const changed = known?.epoch === epoch ? [] : [ownership];
    if (isKnown || readTo < this.#completeFrom) return changed;
    return [...changed, ...this.#resolveClaims({ shard, epoch, readTo })];
  }

  /** Validates the buffered claims of a shard, starting from its epoch at a known offset. */
  #resolveClaims(base: KnownEpoch): readonly Ownership[] {
    const claims = (this.#bufferedClaims.get(base.shard) ?? [])
      .filter(({ offset }) => offset >= base.readTo);
    // The validity of a claim with `unseenSince` depends on records that this reader missed.
    const dependsOnMissing = claims.some(({ record }) =>
      record.unseenSince !== undefined
    );
    if (dependsOnMissing) return [];
    this.#bufferedClaims.delete(base.shard);
    this.#shardsWithEpoch.add(base.shard);
    let { epoch } = base;
    const changed: Ownership[] = [];
    for (const stored of claims) {
      if (stored.claim.replaces !== epoch) continue;
      epoch = stored.offset;
      changed.push(...this.#setOwnership(stored));
    }
    return changed;
  }
}
