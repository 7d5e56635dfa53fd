/**
 * Who owns each shard, folded from claims in log order. A claim is valid only when it names the epoch
 * that it replaces; of two racing claims the first in the log wins, and every reader sees the same.
 *
 * A reader that begins after retention has dropped older records cannot judge every claim by itself.
 * It keeps those of a shard until a record tells the epoch at a point of the log from which on this
 * reader has read everything: a refresh, or a claim whose claimant had read so far. Where the log carries nothing of a shard any more, a claim says from which offset
 * on its claimant saw no record of it, and every reader can check that.
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
  /** The epoch that this one replaced; missing where the reader did not see the claim. */
  readonly replaces?: Epoch;
  /** The ownership before this one; missing where the reader did not see it. */
  readonly previous?: PreviousOwnership;
}

/** An ownership that another one replaced. */
export interface PreviousOwnership {
  readonly owner: ProcessIdentifier;
  readonly epoch: Epoch;
  /** The epoch that it had replaced; missing where the reader did not see the claim. */
  readonly replaces?: Epoch;
}

interface StoredClaim {
  readonly offset: LogOffset;
  readonly record: ShardsClaimed;
  readonly claim: ShardClaim;
}

interface KnownEpoch {
  readonly shard: ShardNumber;
  readonly epoch: Epoch;
  readonly readTo: LogOffset;
}

const FIRST_OFFSET: LogOffset = 1;

/** Ownership of all shards as far as the log has been read. */
export class OwnershipTable {
  readonly #ownerships = new Map<ShardNumber, Ownership>();
  readonly #bufferedClaims = new Map<ShardNumber, StoredClaim[]>();
  readonly #shardsWithEpoch = new Set<ShardNumber>();
  #completeFrom: LogOffset = FIRST_OFFSET;

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

  /** Whether this reader can judge claims of the shard. */
  isEpochKnown(shard: ShardNumber): boolean {
    return this.#completeFrom === FIRST_OFFSET ||
      this.#shardsWithEpoch.has(shard);
  }

  /** The offset from which on this reader saw nothing of an undecided shard. */
  unseenSince(shard: ShardNumber): LogOffset {
    const last = this.#bufferedClaims.get(shard)?.at(-1);
    return last === undefined ? this.#completeFrom : last.offset + 1;
  }

  /** Notes that records below an offset are no longer in the log and were not read. */
  markMissingBefore(offset: LogOffset): void {
    this.#completeFrom = offset;
    this.#shardsWithEpoch.clear();
    this.#bufferedClaims.clear();
  }

  /**
   * Applies one record; call in log order.
   *
   * @returns the ownerships that changed hands as far as this reader knew them
   */
  apply(offset: LogOffset, record: ShardsClaimed): readonly Ownership[] {
    return record.claims.flatMap((claim) =>
      this.#applyClaim({ offset, record, claim })
    );
  }

  #applyClaim(placed: StoredClaim): readonly Ownership[] {
    if (placed.record.reason === ClaimReason.Refresh) {
      return this.#refresh(placed);
    }
    if (this.isEpochKnown(placed.claim.shard)) return this.#validate(placed);
    if (this.#isProvedUnseen(placed)) return this.#put(placed);
    const { readTo, unseenSince } = placed.record;
    this.#bufferClaim(placed);
    if (readTo === undefined || readTo < this.#completeFrom) return [];
    if (unseenSince !== undefined) return [];
    const { shard, replaces: epoch } = placed.claim;
    return this.#resolveClaims({ shard, epoch, readTo });
  }

  #validate(placed: StoredClaim): readonly Ownership[] {
    const { claim, record } = placed;
    const isValid = record.unseenSince === undefined
      ? claim.replaces === this.epochOf(claim.shard)
      : this.#lastRecordOf(claim.shard) < record.unseenSince;
    return isValid ? this.#put(placed) : [];
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

  #bufferClaim(placed: StoredClaim): void {
    const { shard } = placed.claim;
    const claims = this.#bufferedClaims.get(shard) ?? [];
    claims.push(placed);
    this.#bufferedClaims.set(shard, claims);
  }

  #put({ offset, record, claim }: StoredClaim): readonly Ownership[] {
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
    const isDecided = this.isEpochKnown(shard);
    const isStale = isDecided
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
    if (isDecided || readTo < this.#completeFrom) return changed;
    return [...changed, ...this.#resolveClaims({ shard, epoch, readTo })];
  }

  /** Judges the claims that were kept, from the epoch that the shard had at a point of the log. */
  #resolveClaims(base: KnownEpoch): readonly Ownership[] {
    const claims = (this.#bufferedClaims.get(base.shard) ?? [])
      .filter(({ offset }) => offset >= base.readTo);
    // Whether a claim as unseen is valid depends on records that this reader missed.
    const isOpen = claims.some(({ record }) =>
      record.unseenSince !== undefined
    );
    if (isOpen) return [];
    this.#bufferedClaims.delete(base.shard);
    this.#shardsWithEpoch.add(base.shard);
    let { epoch } = base;
    const changed: Ownership[] = [];
    for (const placed of claims) {
      if (placed.claim.replaces !== epoch) continue;
      epoch = placed.offset;
      changed.push(...this.#put(placed));
    }
    return changed;
  }
}
