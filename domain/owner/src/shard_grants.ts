/**
 * Grants of an owner's shards. The owner grants its claim in three steps: it waits until a majority of the
 * witnesses has read the claim; for a takeover, it waits one lease term, in which the earlier owner stops;
 * then it collects the start records of the reachable runners, for a limited time. A runner that returns
 * its records fences the earlier owner.
 */
import {
  assertNever,
  ClaimReason,
  type Epoch,
  EventNumber,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  PeerRequestKind,
  type ProcessIdentifier,
  RemovalReason,
  type RequestIdentifier,
  Severity,
  type ShardEpoch,
  type ShardNumber,
  type StartRecordsCollected,
  UNCLAIMED_EPOCH,
} from "@eelgrassfront/model";
import type {
  DepartedMember,
  FleetMembership,
  MembershipTiming,
} from "@eelgrassfront/membership";
import type { Ownership } from "@eelgrassfront/ownership";
import type { StartRecordIndex } from "./start_record_index.ts";

/** Collaborators and callbacks of a `ShardGrants`. */
export interface ShardGrantsOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly membership: FleetMembership;
  readonly startRecords: StartRecordIndex;
  readonly timing: MembershipTiming;
  /** Called when a shard is granted. */
  readonly onGranted: (shard: ShardNumber) => void;
}

/** Phases of a grant. */
export enum GrantPhase {
  AwaitingMajority = "awaiting-majority",
  AwaitingLease = "awaiting-lease",
  CollectingStartRecords = "gathering-evidence",
  Granted = "granted",
}

/** A majority of the witnesses has not read the claim yet. */
export interface AwaitingMajority {
  readonly phase: GrantPhase.AwaitingMajority;
}

/** The earlier owner may act until its lease term ends. */
export interface AwaitingLease {
  readonly phase: GrantPhase.AwaitingLease;
  readonly until: Milliseconds;
}

/** The start records of the runners are being collected. */
export interface CollectingStartRecords {
  readonly phase: GrantPhase.CollectingStartRecords;
  readonly startedAt: Milliseconds;
}

/** The owner may decide on submissions of the shards. */
export interface Granted {
  readonly phase: GrantPhase.Granted;
  /** Time after which missing start records no longer matter, since they are past the horizon. */
  readonly windowEndsAt: Milliseconds;
}

/** State of a grant. */
export type GrantState =
  | AwaitingMajority
  | AwaitingLease
  | CollectingStartRecords
  | Granted;

/** Status of a shard at this owner. */
export enum ShardStatus {
  NotOwned = "not-owned",
  Pending = "pending",
  Granted = "granted",
}

interface Grant {
  readonly epoch: Epoch;
  readonly reason: ClaimReason;
  readonly shards: Set<ShardNumber>;
  /** Runners whose start records are still missing. */
  readonly missing: Set<ProcessIdentifier>;
  state: GrantState;
  nextQueryAt: Milliseconds;
}

interface StartRecordQuery {
  readonly grant: Grant;
  readonly runner: ProcessIdentifier;
}

/** Time that a grant waits for the start records of reachable runners. */
const COLLECTION_TIMEOUT_MILLISECONDS: Milliseconds = 500;
/** Time between two queries for missing start records. */
const COLLECTION_RETRY_MILLISECONDS: Milliseconds = 200;

/** The grants of one owner. */
export class ShardGrants {
  readonly #options: ShardGrantsOptions;
  readonly #grants = new Map<Epoch, Grant>();
  readonly #byShard = new Map<ShardNumber, Grant>();
  readonly #queries = new Map<RequestIdentifier, StartRecordQuery>();
  readonly #suspended = new Set<ShardNumber>();

  constructor(options: ShardGrantsOptions) {
    this.#options = options;
  }

  /** Number of shards owned, granted or not. */
  get size(): number {
    return this.#byShard.size;
  }

  /**
   * Returns the status of a shard. A granted shard counts as pending while its grant is suspended or the
   * view of the log is stale.
   */
  statusOf(shard: ShardNumber): ShardStatus {
    const grant = this.#byShard.get(shard);
    if (grant === undefined) return ShardStatus.NotOwned;
    const isGranted = grant.state.phase === GrantPhase.Granted &&
      !this.#suspended.has(shard);
    return isGranted && this.#options.membership.heartbeats.isFresh()
      ? ShardStatus.Granted
      : ShardStatus.Pending;
  }

  /** Returns the epoch of this owner's claim of a shard, or undefined when it does not own the shard. */
  epochOf(shard: ShardNumber): Epoch | undefined {
    return this.#byShard.get(shard)?.epoch;
  }

  /**
   * Returns the epoch since which every start is known: a submission that was first made at this epoch or
   * later and has no start record has not started. An owner places no task on its own runner. So when
   * only the records of the runner beside the previous owner are missing, every start under the previous
   * owner is known.
   *
   * @returns infinity while the shard is not granted, the unclaimed epoch when every start is known
   */
  startsKnownSince(shard: ShardNumber): Epoch {
    const grant = this.#byShard.get(shard);
    if (grant === undefined || grant.state.phase !== GrantPhase.Granted) {
      return Infinity;
    }
    const isWindowOver =
      grant.state.windowEndsAt <= this.#options.collector.now;
    if (grant.missing.size === 0 || isWindowOver) return UNCLAIMED_EPOCH;
    const { previous } = this.#options.membership.view.ownership.find(shard) ??
      {};
    const isOnlyPrevious = previous !== undefined && grant.missing.size === 1 &&
      grant.missing.has(previous.owner);
    if (!isOnlyPrevious) return grant.epoch;
    return previous.replaces === UNCLAIMED_EPOCH
      ? UNCLAIMED_EPOCH
      : previous.epoch;
  }

  /** Returns the shards owned, granted or not, with their epochs. */
  owned(): readonly ShardEpoch[] {
    return [...this.#byShard].map(([shard, { epoch }]) => ({ shard, epoch }));
  }

  /** Returns the shards granted, suspended or not, with their epochs. */
  granted(): readonly ShardEpoch[] {
    return this.owned().filter(({ shard }) =>
      this.#byShard.get(shard)?.state.phase === GrantPhase.Granted
    );
  }

  /** Suspends the grant of a shard that is offered to a successor. */
  suspend(shard: ShardNumber): void {
    this.#suspended.add(shard);
  }

  /** Resumes the grant of a shard that no successor can have claimed. */
  resume(shard: ShardNumber): void {
    this.#suspended.delete(shard);
  }

  /** Whether the grant of a shard is suspended. */
  isSuspended(shard: ShardNumber): boolean {
    return this.#suspended.has(shard);
  }

  /** Gives up a shard and leaves it to a takeover. */
  relinquish(shard: ShardNumber): void {
    this.#drop(shard);
  }

  /** Queries every runner again when one left without a reply, since another runner has its records. */
  handleDeparture({ member, reason }: DepartedMember): void {
    if (reason !== RemovalReason.Left) return;
    for (const grant of this.#grants.values()) {
      if (!grant.missing.delete(member.joined.process)) continue;
      for (const { joined } of this.#options.membership.view.sidecars()) {
        grant.missing.add(joined.process);
      }
      grant.nextQueryAt = 0;
    }
  }

  /**
   * Applies a change of ownership.
   *
   * @returns true when this owner lost the shard
   */
  applyOwnership(ownership: Ownership): boolean {
    const { shard, epoch, owner, reason } = ownership;
    const lost = this.#drop(shard);
    if (owner === this.#options.self) this.#addShard(shard, epoch, reason);
    return lost;
  }

  /** Advances every grant to its next phase when the conditions are met. */
  tick(): void {
    for (const grant of this.#grants.values()) this.#advance(grant);
  }

  /** Adds the start records of a runner; returns false when they answer no query of this owner. */
  handleStartRecords(
    request: RequestIdentifier,
    reply: StartRecordsCollected,
  ): boolean {
    const query = this.#queries.get(request);
    if (query === undefined) return false;
    this.#queries.delete(request);
    const { grant, runner } = query;
    const { collector, startRecords } = this.#options;
    startRecords.add(collector.now, runner, reply.records);
    grant.missing.delete(runner);
    this.#advance(grant);
    return true;
  }

  /** Removes a query that gets no reply; returns false when the request was no query. */
  handleLostRequest(request: RequestIdentifier): boolean {
    return this.#queries.delete(request);
  }

  #addShard(shard: ShardNumber, epoch: Epoch, reason: ClaimReason): void {
    const known = this.#grants.get(epoch);
    const grant = known ?? {
      epoch,
      reason,
      shards: new Set<ShardNumber>(),
      missing: new Set<ProcessIdentifier>(),
      state: { phase: GrantPhase.AwaitingMajority },
      nextQueryAt: 0,
    };
    grant.shards.add(shard);
    this.#grants.set(epoch, grant);
    this.#byShard.set(shard, grant);
  }

  #drop(shard: ShardNumber): boolean {
    const grant = this.#byShard.get(shard);
    if (grant === undefined) return false;
    this.#byShard.delete(shard);
    this.#suspended.delete(shard);
    grant.shards.delete(shard);
    if (grant.shards.size === 0) this.#grants.delete(grant.epoch);
    this.#options.startRecords.removeShard(shard);
    return true;
  }

  #advance(grant: Grant): void {
    switch (grant.state.phase) {
      case GrantPhase.AwaitingMajority:
        this.#awaitMajority(grant);
        return;
      case GrantPhase.AwaitingLease:
        if (this.#options.collector.now < grant.state.until) return;
        this.#startCollecting(grant);
        return;
      case GrantPhase.CollectingStartRecords:
        this.#collect(grant, grant.state.startedAt);
        return;
      case GrantPhase.Granted:
        this.#queryMissing(grant);
        return;
      default:
        assertNever(grant.state);
    }
  }

  #awaitMajority(grant: Grant): void {
    const { collector, membership, timing } = this.#options;
    if (!membership.heartbeats.hasMajorityRead(grant.epoch)) return;
    if (grant.reason !== ClaimReason.Takeover) {
      this.#startCollecting(grant);
      return;
    }
    grant.state = {
      phase: GrantPhase.AwaitingLease,
      until: collector.now + timing.leaseMilliseconds,
    };
  }

  #startCollecting(grant: Grant): void {
    const { collector, membership } = this.#options;
    const startedAt = collector.now;
    for (const { joined } of membership.view.sidecars()) {
      grant.missing.add(joined.process);
    }
    for (const { member, reason } of membership.view.departed()) {
      const areRecordsLost = reason !== RemovalReason.Left &&
        member.joined.backendServer !== undefined;
      if (areRecordsLost) grant.missing.add(member.joined.process);
    }
    grant.state = { phase: GrantPhase.CollectingStartRecords, startedAt };
    this.#collect(grant, startedAt);
  }

  #collect(grant: Grant, startedAt: Milliseconds): void {
    const { collector } = this.#options;
    const isWithinTimeout =
      collector.now - startedAt < COLLECTION_TIMEOUT_MILLISECONDS;
    const awaited = [...grant.missing].filter((runner) =>
      this.#isAnswerLikely(runner)
    );
    if (awaited.length > 0 && isWithinTimeout) {
      this.#queryMissing(grant);
      return;
    }
    this.#grantNow(grant);
  }

  #grantNow(grant: Grant): void {
    const { collector, timing, onGranted } = this.#options;
    grant.state = {
      phase: GrantPhase.Granted,
      windowEndsAt: collector.now + timing.horizonMilliseconds,
    };
    collector.record(EventNumber.ShardsGranted, "shards are granted", {
      context: { epoch: grant.epoch, shards: grant.shards.size },
    });
    if (grant.missing.size > 0) {
      collector.record(
        EventNumber.EvidenceMissing,
        "runners did not give their start records",
        {
          severity: Severity.Warning,
          context: { epoch: grant.epoch, runners: [...grant.missing].join() },
        },
      );
    }
    for (const shard of grant.shards) onGranted(shard);
  }

  #isAnswerLikely(runner: ProcessIdentifier): boolean {
    const { membership } = this.#options;
    return membership.view.find(runner) !== undefined &&
      membership.heartbeats.isReachable(runner);
  }

  #queryMissing(grant: Grant): void {
    const { collector, membership } = this.#options;
    if (collector.now < grant.nextQueryAt) return;
    grant.nextQueryAt = collector.now + COLLECTION_RETRY_MILLISECONDS;
    for (const runner of grant.missing) {
      const member = membership.view.find(runner);
      if (member === undefined) continue;
      this.#query(grant, runner, member.joined.address);
    }
  }

  #query(grant: Grant, runner: ProcessIdentifier, address: string): void {
    const { collector } = this.#options;
    const request = collector.nextRequest();
    this.#queries.set(request, { grant, runner });
    const { epoch } = grant;
    const shards = [...grant.shards].map((shard) => ({ shard, epoch }));
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: runner,
      address,
      message: { kind: PeerRequestKind.CollectStartRecords, shards },
    });
  }
}
