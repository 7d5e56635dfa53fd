/**
 * Handover of the shards of a draining owner to successors that are not draining. The owner
 * suspends the grant of a shard before it offers the shard, and resumes the grant only after every offer
 * was refused, since a successor whose reply was lost may have claimed the shard. When no claim appears
 * in the log in time, for example during an outage of the log, the owner abandons the shard and leaves
 * it to a takeover.
 */
import type { FleetMembership } from "@eelgrassfront/membership";
import {
  EventNumber,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type RetainedAnswer,
  Severity,
  type ShardEpoch,
  type ShardNumber,
} from "@eelgrassfront/model";
import { ownerCandidates, preferredOwner } from "@eelgrassfront/ownership";
import type { ShardGrants } from "./shard_grants.ts";

/** Collaborators and callbacks of a `ShardHandover`. */
export interface ShardHandoverOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly membership: FleetMembership;
  readonly ownerCount: number;
  readonly grants: ShardGrants;
  /** Returns the stored answers of the given shards. */
  readonly answersOf: (
    shards: ReadonlySet<ShardNumber>,
  ) => readonly RetainedAnswer[];
  /** Called when a shard is abandoned to a takeover. */
  readonly onAbandoned: (shard: ShardNumber) => void;
}

interface Offer {
  readonly successor: ProcessIdentifier;
  readonly shards: readonly ShardNumber[];
}

interface OfferedShard {
  readonly startedAt: Milliseconds;
  offeredAt: Milliseconds;
  /** Offers whose receivers may have claimed the shard. */
  readonly unresolved: Set<RequestIdentifier>;
}

/** Time after an offer without a claim before the shard is offered again. */
const OFFER_RETRY_MILLISECONDS: Milliseconds = 1_000;
/** Time within which the claim of a successor must appear in the log. */
const CLAIM_TIMEOUT_MILLISECONDS: Milliseconds = 3_000;

/** Offers the shards of an owner to successors and tracks the offers. */
export class ShardHandover {
  readonly #options: ShardHandoverOptions;
  readonly #offers = new Map<RequestIdentifier, Offer>();
  readonly #offered = new Map<ShardNumber, OfferedShard>();
  readonly #refusedBy = new Set<ProcessIdentifier>();
  #isStarted = false;

  constructor(options: ShardHandoverOptions) {
    this.#options = options;
  }

  /** Whether no offered shard waits for a claim. */
  get isIdle(): boolean {
    return this.#offered.size === 0;
  }

  /** Starts the handover of every shard, including those that this owner receives later. */
  start(): void {
    this.#isStarted = true;
  }

  /** Offers the shards that are due and abandons those whose claim is overdue. */
  tick(): void {
    if (!this.#isStarted) return;
    this.#removeClaimed();
    this.#abandonOverdue();
    const due = this.#due();
    if (due.length === 0) return;
    const successors = this.#successors();
    if (successors.length === 0) this.#resume(due);
    else if (this.#options.membership.isLogAvailable) {
      this.#offerAll(due, successors);
    }
  }

  /** Handles the reply to an offer; returns false when the request was no offer. */
  handleReply(request: RequestIdentifier, reply: PeerReply): boolean {
    const offer = this.#offers.get(request);
    if (offer === undefined) return false;
    this.#offers.delete(request);
    if (reply.kind === PeerReplyKind.ShardsAccepted) return true;
    this.#refusedBy.add(offer.successor);
    for (const shard of offer.shards) this.#offerAgain(shard, request);
    return true;
  }

  /**
   * Handles an offer that gets no reply; returns false when the request was no offer. The shards stay
   * suspended, since the receiver may have claimed them.
   */
  handleLostRequest(request: RequestIdentifier): boolean {
    return this.#offers.delete(request);
  }

  #offerAgain(shard: ShardNumber, refused: RequestIdentifier): void {
    const offered = this.#offered.get(shard);
    if (offered === undefined) return;
    offered.unresolved.delete(refused);
    offered.offeredAt = -Infinity;
  }

  #removeClaimed(): void {
    for (const shard of this.#offered.keys()) {
      if (this.#options.grants.epochOf(shard) !== undefined) continue;
      this.#offered.delete(shard);
    }
  }

  #abandonOverdue(): void {
    const { collector, onAbandoned } = this.#options;
    const overdue = [...this.#offered].filter(([, { startedAt }]) =>
      collector.now - startedAt >= CLAIM_TIMEOUT_MILLISECONDS
    );
    if (overdue.length === 0) return;
    collector.record(
      EventNumber.HandOverGivenUp,
      "no claim of a successor appeared in the log in time; the shards are left to a takeover",
      { severity: Severity.Warning, context: { shards: overdue.length } },
    );
    for (const [shard] of overdue) {
      this.#offered.delete(shard);
      onAbandoned(shard);
    }
  }

  #due(): readonly ShardEpoch[] {
    const { collector, grants } = this.#options;
    return grants.owned().filter(({ shard }) => {
      const offeredAt = this.#offered.get(shard)?.offeredAt ?? -Infinity;
      return collector.now - offeredAt >= OFFER_RETRY_MILLISECONDS;
    });
  }

  #successors(): readonly ProcessIdentifier[] {
    const { membership, self, ownerCount } = this.#options;
    const willing = membership.view.sidecars()
      .map(({ joined }) => joined.process)
      .filter((process) =>
        process !== self && !this.#refusedBy.has(process) &&
        membership.heartbeats.isReachable(process) &&
        !membership.heartbeats.isLeaving(process)
      );
    return ownerCandidates(willing, ownerCount);
  }

  /** Resumes the grant of the shards that no successor can have claimed. */
  #resume(shards: readonly ShardEpoch[]): void {
    for (const { shard } of shards) {
      const offered = this.#offered.get(shard);
      if (offered === undefined || offered.unresolved.size > 0) continue;
      this.#offered.delete(shard);
      this.#options.grants.resume(shard);
    }
  }

  #offerAll(
    shards: readonly ShardEpoch[],
    successors: readonly ProcessIdentifier[],
  ): void {
    const bySuccessor = new Map<ProcessIdentifier, ShardEpoch[]>();
    for (const shardEpoch of shards) {
      const successor = preferredOwner(shardEpoch.shard, successors);
      if (successor === undefined) continue;
      const group = bySuccessor.get(successor) ?? [];
      group.push(shardEpoch);
      bySuccessor.set(successor, group);
    }
    for (const [successor, group] of bySuccessor) {
      this.#offer(successor, group);
    }
  }

  #offer(successor: ProcessIdentifier, shards: readonly ShardEpoch[]): void {
    const { collector, membership, answersOf } = this.#options;
    const member = membership.view.find(successor);
    if (member === undefined) return;
    const request = collector.nextRequest();
    const numbers = shards.map(({ shard }) => shard);
    this.#offers.set(request, { successor, shards: numbers });
    for (const shard of numbers) this.#recordOffer(shard, request);
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: successor,
      address: member.joined.address,
      message: {
        kind: PeerRequestKind.HandOverShards,
        shards,
        answers: answersOf(new Set(numbers)),
      },
    });
  }

  #recordOffer(shard: ShardNumber, request: RequestIdentifier): void {
    const { collector, grants } = this.#options;
    grants.suspend(shard);
    const offered = this.#offered.get(shard) ?? {
      startedAt: collector.now,
      offeredAt: collector.now,
      unresolved: new Set<RequestIdentifier>(),
    };
    offered.offeredAt = collector.now;
    offered.unresolved.add(request);
    this.#offered.set(shard, offered);
  }
}
