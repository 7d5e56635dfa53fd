/**
 * Tells peers what this process knows and hears what they know, so that members and configuration are
 * found while the store is away, or turns this process alone away. A few peers a round, in rotation, so
 * that the messages of one process do not grow with the fleet.
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
import type { FleetDirectory } from "./fleet_directory.ts";

/** What the exchange needs. */
export interface FleetStateExchangeOptions {
  readonly self: FleetMember;
  readonly directory: FleetDirectory;
  readonly collector: OutputCollector<DispatchOutput>;
  /** Addresses that are asked whether or not a member is known there. */
  readonly seeds: readonly string[];
  /** Whether an entry needs to hear of this process. */
  readonly shouldContact: (entry: FleetMember) => boolean;
}

/** Time between two rounds; a quarter of the shortest time in which a version must be in force. */
const ROUND_MILLISECONDS: Milliseconds = 500;
const PEERS_PER_ROUND = 3;
/** Rounds in which seeds are asked after the start or after isolation: they may be starting too. */
const SEED_ROUNDS = 20;
/** A run that nobody has: the receiver answers with its own identity. */
const UNKNOWN_RUN = "unknown";

/** Exchanges knowledge with entries. */
export class FleetStateExchange {
  readonly #options: FleetStateExchangeOptions;
  readonly #pending = new Map<RequestIdentifier, string>();
  #nextRoundAt: Milliseconds = 0;
  #rounds = 0;

  constructor(options: FleetStateExchangeOptions) {
    this.#options = options;
  }

  /** When the next round is due. */
  nextAlarm(): Milliseconds {
    return this.#nextRoundAt;
  }

  /** Starts a round when it is due. */
  tick(): void {
    const { collector } = this.#options;
    if (collector.now < this.#nextRoundAt) return;
    this.#nextRoundAt = collector.now + ROUND_MILLISECONDS;
    this.#rounds += 1;
    const entries = this.#wantedEntries();
    for (const entry of entries) this.#ask(entry.process, entry.address);
    if (this.#rounds > SEED_ROUNDS) return;
    const known = new Set(entries.map(({ address }) => address));
    for (const address of this.#options.seeds) {
      const isSelf = address === this.#options.self.address;
      if (isSelf || known.has(address)) continue;
      this.#ask(processIdentifier(UNKNOWN_RUN, ""), address);
    }
  }

  /** Answers a peer and learns what it told. Returns whether a newer configuration came. */
  handleRequest(
    from: ProcessIdentifier,
    request: RequestIdentifier,
    message: ExchangeFleetState,
  ): boolean {
    const { directory, collector } = this.#options;
    this.#learnMember(message.sender);
    const isNewer = message.configuration !== undefined &&
      directory.updateConfiguration(message.configuration);
    collector.add({
      kind: OutputKind.SendReply,
      to: from,
      request,
      message: {
        kind: DispatchReplyKind.FleetStateExchanged,
        knowledge: directory.stateFor(message.configurationVersion),
      },
    });
    const isBehind =
      message.configurationVersion > directory.configurationVersion;
    if (isBehind) this.#ask(from, message.sender.address);
    return isNewer;
  }

  /** Takes a reply, if it is one to this exchange. Returns whether a newer configuration came. */
  handleReply(input: IncomingReply<DispatchReply>): boolean {
    const address = this.#pending.get(input.request);
    if (address === undefined) return false;
    this.#pending.delete(input.request);
    const { message } = input;
    if (message.kind === DispatchReplyKind.FleetStateExchanged) {
      return this.#learn(message.knowledge);
    }
    if ("current" in message) this.#ask(message.current, address);
    return false;
  }

  /** Forgets a request that was lost. */
  handleLostRequest(request: RequestIdentifier): void {
    this.#pending.delete(request);
  }

  /** Whether the request was made by this exchange. */
  owns(request: RequestIdentifier): boolean {
    return this.#pending.has(request);
  }

  /** Asks the seeds again, after the process was cut off. */
  restartSeedRounds(): void {
    this.#rounds = 0;
  }

  #wantedEntries(): readonly FleetMember[] {
    const { directory, self, shouldContact: isWanted } = this.#options;
    const entries = directory.membersOf(Role.Entry).filter((entry) =>
      entry.address !== self.address && isWanted(entry)
    );
    if (entries.length <= PEERS_PER_ROUND) return entries;
    const first = (this.#rounds * PEERS_PER_ROUND) % entries.length;
    return [...entries.slice(first), ...entries.slice(0, first)]
      .slice(0, PEERS_PER_ROUND);
  }

  #ask(peer: ProcessIdentifier, address: string): void {
    const { collector, directory, self } = this.#options;
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
      },
    });
  }

  #learn({ configuration, members }: FleetState): boolean {
    const { directory, self } = this.#options;
    for (const member of members) {
      const isOther = member.address !== self.address;
      if (isOther && directory.addMemberFromPeer(member)) this.#tellOf(member);
    }
    return configuration !== undefined &&
      directory.updateConfiguration(configuration);
  }

  #learnMember(member: FleetMember): void {
    if (this.#options.directory.updateMember(member)) this.#tellOf(member);
  }

  #tellOf({ process, address, role }: FleetMember): void {
    this.#options.collector.record(
      EventNumber.MemberLearnt,
      "learnt of a member from a peer",
      { context: { member: process, address, role } },
    );
  }
}
