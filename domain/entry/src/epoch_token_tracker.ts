/**
 * The epoch token that goes with every answer: the newest log offset up to which each claim is known
 * to be granted, or can no longer be. A caller that sends it back with a submission that it makes for
 * the first time proves that no owner of an earlier epoch can have started it.
 */
import type { Epoch, LogOffset, ShardNumber } from "@eelgrassfront/model";
import type { Ownership } from "@eelgrassfront/ownership";

/** Claims and grants as one entry knows them. */
export class EpochTokenTracker {
  readonly #granted = new Map<ShardNumber, Epoch>();
  /** Claims since the newest grant, oldest first: an earlier one may still be granted. */
  readonly #ungranted = new Map<ShardNumber, readonly Epoch[]>();

  /** Notes a claim; call in log order. */
  recordClaim({ shard, epoch }: Pick<Ownership, "shard" | "epoch">): void {
    if (this.#isGranted(shard, epoch)) return;
    const ungranted = this.#ungranted.get(shard) ?? [];
    this.#ungranted.set(shard, [...ungranted, epoch]);
  }

  /** Notes that an owner was granted a shard. */
  recordGrant(shard: ShardNumber, epoch: Epoch): void {
    if (this.#isGranted(shard, epoch)) return;
    this.#granted.set(shard, epoch);
    const ungranted = this.#ungranted.get(shard) ?? [];
    const newer = ungranted.filter((claimed) => claimed > epoch);
    if (newer.length > 0) this.#ungranted.set(shard, newer);
    else this.#ungranted.delete(shard);
  }

  /** The token at a point of the log, given the ownerships up to there. */
  tokenAt(nextOffset: LogOffset, ownerships: Iterable<Ownership>): Epoch {
    let token = nextOffset - 1;
    for (const [oldest] of this.#ungranted.values()) {
      if (oldest !== undefined) token = Math.min(token, oldest - 1);
    }
    for (const { shard, epoch } of ownerships) {
      if (!this.#isGranted(shard, epoch)) token = Math.min(token, epoch - 1);
    }
    return token;
  }

  #isGranted(shard: ShardNumber, epoch: Epoch): boolean {
    return (this.#granted.get(shard) ?? 0) >= epoch;
  }
}
