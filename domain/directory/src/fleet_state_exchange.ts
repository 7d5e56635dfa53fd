/**
 * Exchange of the fleet state (members, configuration and evacuated zones) between processes, so that a process gets the state
 * while the store is unavailable or rejects only this process. Each round contacts a few peers in rotation, so
 * that the number of messages of one process does not grow with the fleet.
 */
import {
  type DispatchOutput,
  type DispatchReply,
  DispatchReplyKind,
  DispatchRequestKind,
  EventNumber,
  type ExchangeFleetState,
  type FleetMember,
  type FleetState,
  type IncomingReply,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  processIdentifier,
  type RequestIdentifier,
  Role,
} from "@eelgrassfront/model";
import { mergeEvacuations } from "./evacuation_changes.ts";
import type { FleetDirectory } from "./fleet_directory.ts";

/** Identity of the process, its directory, and the peers to contact. */
export interface FleetStateExchangeOptions {
  readonly self: FleetMember;
  readonly directory: FleetDirectory;
  readonly collector: OutputCollector<DispatchOutput>;
  /** Addresses that are contacted even if no member is known there. */
  readonly seeds: readonly string[];
  /** Whether peers are contacted; a sidecar that the fleet knows leaves this to the entries. */
  readonly isNeeded: () => boolean;
}

/** Interval of rounds: a quarter of the shortest time within which a new version must be in force. */
const ROUND_MILLISECONDS: Milliseconds = 500;
/** Maximum number of entries that are contacted in one round, besides seeds. */
const PEERS_PER_ROUND = 3;
/** Delay of the first round, in which the store usually provides the fleet state. */
const FIRST_ROUND_MILLISECONDS: Milliseconds = 200;
/** Number of rounds that contact the seeds after a start or an isolation: the seeds may be starting too. */
const SEED_ROUNDS = 20;
/** Among these rounds, one in this number contacts a seed although entries are known. */
const ROUNDS_PER_SEED = 4;
/** Process name that does not exist, so that the receiver replies with its own identity. */
const UNKNOWN_PROCESS_NAME = "unknown";

/** Exchanges the fleet state with entries. */
export class FleetStateExchange {
  readonly #options: FleetStateExchangeOptions;
  readonly #pending = new Map<RequestIdentifier, string>();
  #nextRoundAt: Milliseconds | undefined;
  #rounds = 0;

  constructor(options: FleetStateExchangeOptions) {
    this.#options = options;
  }

  /** Returns the time of the next round. */
  nextAlarm(): Milliseconds {
    return this.#nextRoundAt ?? 0;
  }

  /** Starts a round if one is due. */
  tick(): void {
    const { collector, isNeeded } = this.#options;
    this.#nextRoundAt ??= collector.now + FIRST_ROUND_MILLISECONDS;
    if (collector.now < this.#nextRoundAt) return;
    this.#nextRoundAt = collector.now + ROUND_MILLISECONDS;
    if (!isNeeded()) return;
    this.#rounds += 1;
    const entries = this.#selectEntries();
    for (const entry of entries) this.#send(entry.process, entry.address);
    const known = new Set(entries.map(({ address }) => address));
    for (const address of this.#selectSeeds(entries.length > 0)) {
      if (known.has(address)) continue;
      this.#send(processIdentifier(UNKNOWN_PROCESS_NAME, ""), address);
    }
  }

  /** All seeds until an entry is known; then one from time to time, since parts of the fleet may be apart. */
  #selectSeeds(isEntryKnown: boolean): readonly string[] {
    const { self } = this.#options;
    if (this.#rounds > SEED_ROUNDS) return [];
    const seeds = this.#options.seeds.filter((address) =>
      address !== self.address
    );
    if (!isEntryKnown) return seeds;
    if (this.#rounds % ROUNDS_PER_SEED !== 0) return [];
    const turn = Math.floor(this.#rounds / ROUNDS_PER_SEED) % seeds.length;
    return seeds.slice(turn, turn + 1);
  }

  /**
   * Applies the state that a peer sent, and replies to the peer. Returns whether a newer configuration came
   * into force.
   */
  handleRequest(
    from: ProcessIdentifier,
    request: RequestIdentifier,
    message: ExchangeFleetState,
  ): boolean {
    const { directory, collector } = this.#options;
    this.#updateMember(message.sender);
    // The sender may have an older state than this process, which has seen no evacuated zone.
    if (message.evacuationOffset !== undefined) {
      directory.evacuations.markInUse();
    }
    const isNewer = message.configuration !== undefined &&
      directory.updateConfiguration(message.configuration);
    collector.add({
      kind: OutputKind.SendReply,
      to: from,
      request,
      message: {
        kind: DispatchReplyKind.FleetStateExchanged,
        knowledge: directory.stateFor(message),
      },
    });
    const isBehind =
      message.configurationVersion > directory.configurationVersion ||
      (message.evacuationOffset ?? 0) > directory.evacuations.state.offset;
    if (isBehind) this.#send(from, message.sender.address);
    return isNewer;
  }

  /** Handles a reply to a request of this exchange. Returns whether a newer configuration came into force. */
  handleReply(input: IncomingReply<DispatchReply>): boolean {
    const address = this.#pending.get(input.request);
    if (address === undefined) return false;
    this.#pending.delete(input.request);
    const { message } = input;
    if (message.kind === DispatchReplyKind.FleetStateExchanged) {
      return this.#applyState(message.knowledge);
    }
    if ("current" in message) this.#send(message.current, address);
    return false;
  }

  /** Drops a request that was lost. */
  handleLostRequest(request: RequestIdentifier): void {
    this.#pending.delete(request);
  }

  /** Returns whether a request was made by this exchange. */
  owns(request: RequestIdentifier): boolean {
    return this.#pending.has(request);
  }

  /** Contacts the seeds again after an isolation of the process. */
  restartSeedRounds(): void {
    this.#rounds = 0;
  }

  #selectEntries(): readonly FleetMember[] {
    const { directory, self } = this.#options;
    const entries = directory.membersOf(Role.Entry).filter((entry) =>
      entry.address !== self.address
    );
    if (entries.length <= PEERS_PER_ROUND) return entries;
    const first = (this.#rounds * PEERS_PER_ROUND) % entries.length;
    return [...entries.slice(first), ...entries.slice(0, first)]
      .slice(0, PEERS_PER_ROUND);
  }

  #send(peer: ProcessIdentifier, address: string): void {
    const { collector, directory, self } = this.#options;
    const { isInUse, state } = directory.evacuations;
    const request = collector.nextRequest();
    this.#pending.set(request, address);
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer,
      address,
      message: {
        kind: DispatchRequestKind.ExchangeFleetState,
        sender: self,
        configurationVersion: directory.configurationVersion,
        membersDigest: directory.membersDigest,
        ...(isInUse ? { evacuationOffset: state.offset } : {}),
      },
    });
  }

  #applyState({ configuration, members, evacuations }: FleetState): boolean {
    const { directory, self, collector } = this.#options;
    mergeEvacuations(evacuations, directory, collector);
    for (const member of members) {
      const isOther = member.address !== self.address;
      if (isOther && directory.addMemberFromPeer(member)) this.#record(member);
    }
    return configuration !== undefined &&
      directory.updateConfiguration(configuration);
  }

  #updateMember(member: FleetMember): void {
    if (this.#options.directory.updateMember(member)) this.#record(member);
  }

  #record({ process, address, role }: FleetMember): void {
    this.#options.collector.record(
      EventNumber.MemberLearnt,
      "a peer reported a new member",
      { context: { member: process, address, role } },
    );
  }
}
