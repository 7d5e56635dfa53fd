/**
 * Heartbeats to peers and the conclusions from the replies: which peers are reachable, whether this
 * process may still act on its view of the log, and whether a majority has read a record.
 *
 * A view is fresh while, within one lease term, either the log was read to its end or a majority of
 * the witnesses replied that they have read no further. A takeover is granted only after a majority
 * has read the claim and a lease term has passed since. An earlier owner that a network partition
 * keeps from reading the claim has stopped by then: every majority that it could reach contains a
 * witness that has read the claim.
 */
import {
  type ConfigurationVersion,
  type Heartbeat,
  type HeartbeatAnswered,
  type LogOffset,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type Role,
  type RunnerLoad,
  type ShardEpoch,
} from "@eelgrassfront/model";
import type { FleetView, Member } from "./fleet_view.ts";
import type { MembershipTiming } from "./timing.ts";
import { HeartbeatTargets } from "./heartbeat_targets.ts";

/**
 * Maximum number of witnesses. The number is even, so that majorities of two sets that differ in
 * one replaced witness still share a member.
 */
export const MAXIMUM_WITNESSES = 14;

/** Identity, timing and collaborators of `Heartbeats`. */
export interface HeartbeatsOptions {
  readonly self: ProcessIdentifier;
  readonly role: Role;
  /** Number of sidecars that own shards at a time. */
  readonly ownerCount: number;
  readonly view: FleetView;
  readonly timing: MembershipTiming;
  readonly collector: OutputCollector;
}

interface NewestReply {
  /** Time at which the heartbeat was sent that this reply belongs to. */
  readonly sentAt: Milliseconds;
  readonly logOffset: LogOffset;
  readonly isLeaving: boolean;
}

interface OutstandingHeartbeat {
  readonly peer: ProcessIdentifier;
  readonly sentAt: Milliseconds;
}

/** Sends heartbeats and keeps the newest reply of each peer. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly #newestReplies = new Map<ProcessIdentifier, NewestReply>();
  readonly #watchedSince = new Map<ProcessIdentifier, Milliseconds>();
  readonly #outstanding = new Map<RequestIdentifier, OutstandingHeartbeat>();
  readonly #targets: HeartbeatTargets;
  #nextHeartbeatAt: Milliseconds = 0;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
    this.#targets = new HeartbeatTargets({
      ...options,
      witnesses: () => this.witnesses(),
      isReachable: (peer) => this.isReachable(peer),
    });
  }

  /** Time at which the next heartbeats are due. */
  nextAlarm(): Milliseconds {
    return this.#nextHeartbeatAt;
  }

  /** Sends the heartbeats that are due. */
  tick(): void {
    const { collector, timing } = this.#options;
    if (collector.now < this.#nextHeartbeatAt) return;
    this.#nextHeartbeatAt = collector.now + timing.heartbeatMilliseconds;
    const watched = this.#targets.members();
    this.#removeStale(watched);
    for (const member of watched) this.#sendHeartbeat(member);
  }

  /** Builds the reply to a peer's heartbeat. */
  buildReply(
    heartbeat: Heartbeat,
    state: {
      readonly isLeaving: boolean;
      readonly granted: readonly ShardEpoch[];
      readonly load?: RunnerLoad;
    },
  ): HeartbeatAnswered {
    const { view } = this.#options;
    const reply: HeartbeatAnswered = {
      kind: PeerReplyKind.HeartbeatAnswered,
      logOffset: view.nextOffset,
      ...state,
    };
    const newer = newerThan(
      heartbeat.configurationOffset,
      view.configuration.current,
    );
    return newer === undefined
      ? reply
      : { ...reply, newerConfiguration: newer };
  }

  /**
   * Handles the reply to a heartbeat.
   *
   * @returns false when the request was no heartbeat of this process
   */
  handleReply(request: RequestIdentifier, reply: HeartbeatAnswered): boolean {
    const outstanding = this.#outstanding.get(request);
    if (outstanding === undefined) return false;
    this.#outstanding.delete(request);
    const known = this.#newestReplies.get(outstanding.peer);
    if (known !== undefined && known.sentAt > outstanding.sentAt) return true;
    this.#newestReplies.set(outstanding.peer, {
      sentAt: outstanding.sentAt,
      logOffset: reply.logOffset,
      isLeaving: reply.isLeaving,
    });
    return true;
  }

  /**
   * Forgets a heartbeat that gets no reply.
   *
   * @returns false when the request was no heartbeat of this process
   */
  handleLostRequest(request: RequestIdentifier): boolean {
    return this.#outstanding.delete(request);
  }

  /** Whether a peer replied recently. A peer that gets no heartbeats counts as reachable. */
  isReachable(peer: ProcessIdentifier): boolean {
    return this.timeSinceReply(peer) <
      this.#options.timing.unreachableMilliseconds;
  }

  /** Returns the time for which a peer has not replied, in milliseconds. */
  timeSinceReply(peer: ProcessIdentifier): Milliseconds {
    const { collector, self } = this.#options;
    if (peer === self) return 0;
    const since = this.#newestReplies.get(peer)?.sentAt ??
      this.#watchedSince.get(peer);
    return since === undefined ? 0 : collector.now - since;
  }

  /** Whether a peer reported that it is leaving. */
  isLeaving(peer: ProcessIdentifier): boolean {
    return this.#newestReplies.get(peer)?.isLeaving ?? false;
  }

  /** Whether this process may act on its view of the log. */
  isFresh(): boolean {
    const { collector, timing, view } = this.#options;
    const earliest = collector.now - timing.leaseMilliseconds;
    const readAt = view.lastReadToEndAt;
    if (readAt !== undefined && readAt > earliest) return true;
    return this.#hasMajority((reply) =>
      reply.sentAt > earliest && reply.logOffset <= view.nextOffset
    );
  }

  /** Whether a majority of the witnesses replied within the lease term. */
  isMajorityReachable(): boolean {
    const { collector, timing } = this.#options;
    const earliest = collector.now - timing.leaseMilliseconds;
    return this.#hasMajority((reply) => reply.sentAt > earliest);
  }

  /** Whether a majority of the witnesses has read the record at this offset. */
  hasMajorityRead(offset: LogOffset): boolean {
    if (this.#options.view.nextOffset <= offset) return false;
    return this.#hasMajority((reply) => reply.logOffset > offset);
  }

  /** The sidecars whose replies count for a majority: those that joined first. */
  witnesses(): readonly Member[] {
    return this.#options.view.sidecars().slice(0, MAXIMUM_WITNESSES);
  }

  #hasMajority(isMatching: (reply: NewestReply) => boolean): boolean {
    const witnesses = this.witnesses();
    const matching = witnesses.filter(({ joined: { process } }) => {
      if (process === this.#options.self) return true;
      const reply = this.#newestReplies.get(process);
      return reply !== undefined && isMatching(reply);
    });
    return matching.length > witnesses.length / 2;
  }

  #sendHeartbeat(member: Member): void {
    const { collector, view } = this.#options;
    const peer = member.joined.process;
    if (!this.#watchedSince.has(peer)) {
      this.#watchedSince.set(peer, collector.now);
    }
    const request = collector.nextRequest();
    this.#outstanding.set(request, { peer, sentAt: collector.now });
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer,
      address: member.joined.address,
      message: {
        kind: PeerRequestKind.Heartbeat,
        logOffset: view.nextOffset,
        configurationOffset: view.configuration.current?.offset ?? 0,
      },
    });
  }

  /**
   * Removes overdue heartbeats, and the out-of-date replies of peers that get no heartbeats any
   * more.
   */
  #removeStale(watched: readonly Member[]): void {
    const { collector, timing } = this.#options;
    for (const [request, { sentAt }] of this.#outstanding) {
      if (collector.now - sentAt > timing.leaseMilliseconds) {
        this.#outstanding.delete(request);
      }
    }
    const peers = new Set(watched.map(({ joined }) => joined.process));
    for (const peer of this.#watchedSince.keys()) {
      if (peers.has(peer)) continue;
      this.#watchedSince.delete(peer);
      this.#newestReplies.delete(peer);
    }
  }
}

function newerThan(
  offset: LogOffset,
  current: ConfigurationVersion | undefined,
): ConfigurationVersion | undefined {
  return current !== undefined && current.offset > offset ? current : undefined;
}
