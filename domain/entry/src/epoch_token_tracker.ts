/**
 * The epoch token of every answer: the newest log offset up to which each claim is known to be granted,
 * or can no longer be granted. A caller that sends the token back with a submission that it makes for the
 * first time proves that no owner of an earlier epoch can have started the submission.
 */
import type { Epoch, LogOffset, ShardNumber } from "@eelgrassfront/model";
import type { Ownership } from "@eelgrassfront/ownership";

/** Claims and grants that one entry knows of. */
export class EpochTokenTracker {
  readonly #granted = new Map<ShardNumber, Epoch>();
  /** Claims since the newest grant, oldest first; an earlier claim may still be granted. */
  readonly #ungranted = new Map<ShardNumber, readonly Epoch[]>();

  /** Records a claim; claims must be recorded in log order. */
  recordClaim({ shard, epoch }: Pick<Ownership, "shard" | "epoch">): void {
    if (this.#isGranted(shard, epoch)) return;
    const ungranted = this.#ungranted.get(shard) ?? [];
    this.#ungranted.set(shard, [...ungranted, epoch]);
  }

  /** Records that an owner was granted a shard. */
  recordGrant(shard: ShardNumber, epoch: Epoch): void {
    if (this.#isGranted(shard, epoch)) return;
    this.#granted.set(shard, epoch);
    const ungranted = this.#ungranted.get(shard) ?? [];
    const newer = ungranted.filter((claimed) => claimed > epoch);
    if (newer.length > 0) this.#ungranted.set(shard, newer);
    else this.#ungranted.delete(shard);
  }

  /** Returns the token at an offset of the log, given the ownerships up to that offset. */
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
