/**
 * Heartbeats to peers, and what follows from them: which peers can be reached, whether this process
 * may still act on its view of the log, and whether a majority has read a record.
 *
 * A view is fresh while, within one lease term, either the log was read to its end or a majority of
 * the witnesses answered that they have read no further. A claimant grants only after a majority has
 * read its claim and a lease term has passed since, so an owner that a cut keeps from the claim has
 * stopped by then: any majority it could hear contains a witness that knows the claim.
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
 * Most witnesses. The number is even, so that majorities of two sets that differ in one replaced
 * witness still share a member.
 */
export const MAXIMUM_WITNESSES = 14;

/** What heartbeats need. */
export interface HeartbeatsOptions {
  readonly self: ProcessIdentifier;
  readonly role: Role;
  /** Sidecars that own shards at a time. */
  readonly ownerCount: number;
  readonly view: FleetView;
  readonly timing: MembershipTiming;
  readonly collector: OutputCollector;
}

interface Heard {
  /** When the heartbeat was sent that this answer belongs to. */
  readonly sentAt: Milliseconds;
  readonly logOffset: LogOffset;
  readonly isLeaving: boolean;
}

interface Outstanding {
  readonly peer: ProcessIdentifier;
  readonly sentAt: Milliseconds;
}

/** Sends heartbeats and keeps what the answers say. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly #heard = new Map<ProcessIdentifier, Heard>();
  readonly #watchedSince = new Map<ProcessIdentifier, Milliseconds>();
  readonly #outstanding = new Map<RequestIdentifier, Outstanding>();
  readonly #watchList: HeartbeatTargets;
  #nextBeatAt: Milliseconds = 0;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
    this.#watchList = new HeartbeatTargets({
      ...options,
      witnesses: () => this.witnesses(),
      isReachable: (peer) => this.isReachable(peer),
    });
  }

  /** When the next heartbeats are due. */
  nextAlarm(): Milliseconds {
    return this.#nextBeatAt;
  }

  /** Sends the heartbeats that are due. */
  tick(): void {
    const { collector, timing } = this.#options;
    if (collector.now < this.#nextBeatAt) return;
    this.#nextBeatAt = collector.now + timing.heartbeatMilliseconds;
    const watched = this.#watchList.members();
    this.#forgetStale(watched);
    for (const member of watched) this.#beat(member);
  }

  /** Answers a peer's heartbeat. */
  answer(
    heartbeat: Heartbeat,
    standing: {
      readonly isLeaving: boolean;
      readonly granted: readonly ShardEpoch[];
      readonly load?: RunnerLoad;
    },
  ): HeartbeatAnswered {
    const { view } = this.#options;
    const reply: HeartbeatAnswered = {
      kind: PeerReplyKind.HeartbeatAnswered,
      logOffset: view.nextOffset,
      ...standing,
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
   * Takes the answer to a heartbeat.
   *
   * @returns false when the request was no heartbeat of this process
   */
  handleReply(request: RequestIdentifier, reply: HeartbeatAnswered): boolean {
    const outstanding = this.#outstanding.get(request);
    if (outstanding === undefined) return false;
    this.#outstanding.delete(request);
    const known = this.#heard.get(outstanding.peer);
    if (known !== undefined && known.sentAt > outstanding.sentAt) return true;
    this.#heard.set(outstanding.peer, {
      sentAt: outstanding.sentAt,
      logOffset: reply.logOffset,
      isLeaving: reply.isLeaving,
    });
    return true;
  }

  /** Forgets a heartbeat that will not be answered; false when it was none. */
  handleLostRequest(request: RequestIdentifier): boolean {
    return this.#outstanding.delete(request);
  }

  /** Whether a peer answered recently; a peer that is not watched counts as reachable. */
  isReachable(peer: ProcessIdentifier): boolean {
    return this.silenceOf(peer) < this.#options.timing.unreachableMilliseconds;
  }

  /** How long a peer has been silent, in milliseconds. */
  silenceOf(peer: ProcessIdentifier): Milliseconds {
    const { collector, self } = this.#options;
    if (peer === self) return 0;
    const since = this.#heard.get(peer)?.sentAt ?? this.#watchedSince.get(peer);
    return since === undefined ? 0 : collector.now - since;
  }

  /** Whether a peer said that it is leaving. */
  isLeaving(peer: ProcessIdentifier): boolean {
    return this.#heard.get(peer)?.isLeaving ?? false;
  }

  /** Whether this process may act on its view of the log. */
  isFresh(): boolean {
    const { collector, timing, view } = this.#options;
    const earliest = collector.now - timing.leaseMilliseconds;
    const readAt = view.lastReadToEndAt;
    if (readAt !== undefined && readAt > earliest) return true;
    return this.#hasMajority((heard) =>
      heard.sentAt > earliest && heard.logOffset <= view.nextOffset
    );
  }

  /** Whether a majority of the witnesses answered within the lease term. */
  isMajorityReachable(): boolean {
    const { collector, timing } = this.#options;
    const earliest = collector.now - timing.leaseMilliseconds;
    return this.#hasMajority((heard) => heard.sentAt > earliest);
  }

  /** Whether a majority of the witnesses has read the record at this offset. */
  hasMajorityRead(offset: LogOffset): boolean {
    if (this.#options.view.nextOffset <= offset) return false;
    return this.#hasMajority((heard) => heard.logOffset > offset);
  }

  /** The sidecars whose answers count: those that joined first. */
  witnesses(): readonly Member[] {
    return this.#options.view.sidecars().slice(0, MAXIMUM_WITNESSES);
  }

  #hasMajority(agrees: (heard: Heard) => boolean): boolean {
    const witnesses = this.witnesses();
    const agreeing = witnesses.filter(({ joined: { process } }) => {
      if (process === this.#options.self) return true;
      const heard = this.#heard.get(process);
      return heard !== undefined && agrees(heard);
    });
    return agreeing.length > witnesses.length / 2;
  }

  #beat(member: Member): void {
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

  /** What was heard of a peer says nothing once it is no longer watched. */
  #forgetStale(watched: readonly Member[]): void {
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
      this.#heard.delete(peer);
    }
  }
}

function newerThan(
  offset: LogOffset,
  current: ConfigurationVersion | undefined,
): ConfigurationVersion | undefined {
  return current !== undefined && current.offset > offset ? current : undefined;
}
