/**
 * Follows the fleet on behalf of one process: reads the log into the view, announces the process,
 * sends heartbeats, and removes members that have been silent for long.
 */
import {
  ConfigurationTracker,
  PublicationVerdict,
} from "@eelgrassfront/configuration";
import {
  assertNever,
  EventNumber,
  type HeartbeatAnswered,
  type IncarnationMismatch,
  InputKind,
  type LogOffset,
  LogRecordKind,
  type LogRecordsRead,
  type MemberJoined,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type PeerReplyArrived,
  type PeerRequestLost,
  type PlatformLogInput,
  type ProcessError,
  type ProcessIdentifier,
  RemovalReason,
  type RequestIdentifier,
  Role,
  Severity,
} from "@eelgrassfront/model";
import { OwnershipTable } from "@eelgrassfront/ownership";
import { type FleetChange, FleetChangeKind, FleetView } from "./fleet_view.ts";
import { setFleetGauges } from "./fleet_gauges.ts";
import { Heartbeats } from "./heartbeats.ts";
import { IsolationWatch } from "./isolation_watch.ts";
import { RecordRefresher } from "./record_refresher.ts";
import { SeedInquiry } from "./seed_inquiry.ts";
import type { MembershipTiming } from "./timing.ts";

/** What a follower needs. */
export interface FleetMembershipOptions {
  readonly self: ProcessIdentifier;
  readonly role: Role;
  /** Sidecars that own shards at a time; an entry need not know. */
  readonly ownerCount?: number;
  readonly timing: MembershipTiming;
  readonly collector: OutputCollector;
  /** Addresses of processes that a starting process asks while the log is away. */
  readonly seeds?: readonly string[];
}

/** Time after which an append that did not show in the log is made again. */
const APPEND_RETRY_MILLISECONDS: Milliseconds = 1_000;
/** Time in which the log must show that this process left. */
const DEPARTURE_PATIENCE_MILLISECONDS: Milliseconds = 2_000;

interface Departure {
  readonly reason: RemovalReason;
  readonly startedAt: Milliseconds;
  appendedAt: Milliseconds;
}

/** The fleet as one process follows it. */
export class FleetMembership {
  readonly view: FleetView;
  readonly heartbeats: Heartbeats;
  readonly #options: FleetMembershipOptions;
  readonly #isolation: IsolationWatch;
  readonly #refresher: RecordRefresher;
  readonly #seedInquiry: SeedInquiry;
  #announcement: MemberJoined | undefined;
  #announcedAt: Milliseconds | undefined;
  #departure: Departure | undefined;
  #isLogAvailable = true;
  /** Silence grows by the heartbeat, so it is looked for once in a heartbeat's time. */
  #nextSilenceCheckAt: Milliseconds = 0;
  readonly #lostPeers = new Set<ProcessIdentifier>();
  #removalsAskedAt = new Map<ProcessIdentifier, Milliseconds>();

  constructor(options: FleetMembershipOptions) {
    this.#options = options;
    const { self, timing, collector } = options;
    this.#isolation = new IsolationWatch(collector);
    this.view = new FleetView({
      ownership: new OwnershipTable(),
      configuration: new ConfigurationTracker(),
      horizonMilliseconds: timing.horizonMilliseconds,
    });
    this.heartbeats = new Heartbeats({
      self,
      role: options.role,
      ownerCount: options.ownerCount ?? 0,
      timing,
      collector,
      view: this.view,
    });
    this.#refresher = new RecordRefresher({
      self,
      timing,
      collector,
      view: this.view,
    });
    this.#seedInquiry = new SeedInquiry({
      collector,
      seeds: options.seeds ?? [],
    });
  }

  /** Whether the log shows this process as a member. */
  get isMember(): boolean {
    return this.view.find(this.#options.self) !== undefined;
  }

  /** Whether the log answered when it was last asked. */
  get isLogAvailable(): boolean {
    return this.#isLogAvailable;
  }

  /** Announces the process, now and again until the log shows it. */
  announce(announcement: MemberJoined): void {
    this.#announcement = announcement;
    this.#announcedAt = undefined;
  }

  /** Takes the process out of the fleet; the log shows it a little later. */
  leave(reason: RemovalReason): void {
    this.#announcement = undefined;
    const { now } = this.#options.collector;
    this.#departure = { reason, startedAt: now, appendedAt: -Infinity };
    this.#removeSelf();
  }

  /** Whether the log shows that this process left, or cannot show it in time. */
  get hasLeft(): boolean {
    if (this.#departure === undefined) return false;
    const elapsed = this.#options.collector.now - this.#departure.startedAt;
    return !this.isMember || !this.#isLogAvailable ||
      elapsed >= DEPARTURE_PATIENCE_MILLISECONDS;
  }

  /** When the follower next has something to do. */
  nextAlarm(): Milliseconds {
    return this.heartbeats.nextAlarm();
  }

  /** Does what is due. */
  tick(): void {
    this.heartbeats.tick();
    this.#isolation.note(this.heartbeats.isFresh());
    this.#announceIfDue();
    this.#removeSelf();
    this.#removeSilentMembers();
    if (this.#announcement !== undefined) {
      this.#refresher.tick(this.#announcement);
    }
    if (this.view.configuration.current === undefined) {
      this.#seedInquiry.tick();
    }
  }

  /** Takes an input from the log. */
  handleLogInput(input: PlatformLogInput): readonly FleetChange[] {
    switch (input.kind) {
      case InputKind.LogRecordsRead:
        return this.#read(input);
      case InputKind.LogUnavailable:
        this.#noteUnavailable(input.error);
        return [];
      case InputKind.AppendConfirmed:
      case InputKind.AppendIndeterminate:
        // The log itself tells what took effect; whoever appended looks there.
        return [];
      default:
        return assertNever(input);
    }
  }

  /** Notes a lost request: one event for each peer, until the peer answers again. */
  handleLostRequest(input: PeerRequestLost): void {
    if (this.#lostPeers.has(input.peer)) return;
    this.#lostPeers.add(input.peer);
    this.#options.collector.recordError(
      EventNumber.PeerRequestLost,
      input.error,
    );
  }

  /** Takes the answer to a heartbeat; the changes that follow from it. */
  handleHeartbeatReply(
    { from, request }: PeerReplyArrived,
    answer: HeartbeatAnswered,
  ): readonly FleetChange[] {
    this.#lostPeers.delete(from);
    this.heartbeats.handleReply(request, answer);
    const version = answer.newerConfiguration;
    if (version === undefined) return [];
    const changes = this.view.adoptConfiguration(version, answer.logOffset);
    if (changes.length > 0) {
      this.#options.collector.record(
        EventNumber.ConfigurationLearntFromPeer,
        "took a newer configuration from a peer",
        { context: { version: version.offset } },
      );
      this.#applyConfiguration();
    }
    return changes;
  }

  /** Takes the answer of a seed that another run of the process is there; false when it is none. */
  redirectSeedQuery(
    request: RequestIdentifier,
    answer: IncarnationMismatch,
  ): boolean {
    return this.#seedInquiry.redirect(request, answer.current);
  }

  #read(input: LogRecordsRead): readonly FleetChange[] {
    this.#noteAvailable();
    const changes = this.view.applyRead(input);
    for (const change of changes) this.#recordChange(change);
    this.#recordInvalid(input.invalidOffsets ?? []);
    setFleetGauges(this.view, this.#options.collector);
    return changes;
  }

  #recordInvalid(offsets: readonly LogOffset[]): void {
    for (const offset of offsets) {
      this.#options.collector.record(
        EventNumber.LogRecordInvalid,
        "a record does not keep the protocol and is passed over",
        { severity: Severity.Warning, context: { offset } },
      );
    }
  }

  #recordChange(change: FleetChange): void {
    const { collector } = this.#options;
    switch (change.kind) {
      case FleetChangeKind.MemberJoined:
        collector.record(EventNumber.MemberJoined, "a member joined", {
          context: { member: change.member.joined.process },
        });
        return;
      case FleetChangeKind.MemberDeparted:
        collector.record(EventNumber.MemberRemoved, "a member departed", {
          context: {
            member: change.departed.member.joined.process,
            reason: change.departed.reason,
          },
        });
        return;
      case FleetChangeKind.OwnershipChanged:
        return;
      case FleetChangeKind.PublicationEvaluated:
        if (change.evaluation.verdict !== PublicationVerdict.Rejected) return;
        collector.record(
          EventNumber.ConfigurationRejected,
          "a publication lost against another version",
          { context: { publication: change.evaluation.publication } },
        );
        return;
      case FleetChangeKind.ConfigurationInForce:
        collector.record(
          EventNumber.ConfigurationAccepted,
          "a configuration is in force",
          { context: { version: change.version.offset } },
        );
        this.#applyConfiguration();
        return;
      default:
        return assertNever(change);
    }
  }

  #applyConfiguration(): void {
    const version = this.view.configuration.current;
    if (version === undefined) return;
    this.#options.collector.add({
      kind: OutputKind.ApplyConfiguration,
      version,
      logOffset: this.view.nextOffset,
    });
  }

  #noteAvailable(): void {
    if (this.#isLogAvailable) return;
    this.#isLogAvailable = true;
    this.#options.collector.record(
      EventNumber.LogAvailable,
      "the log answers again",
    );
  }

  #noteUnavailable(error: ProcessError): void {
    if (!this.#isLogAvailable) return;
    this.#isLogAvailable = false;
    this.#options.collector.recordError(EventNumber.LogUnavailable, error);
  }

  #announceIfDue(): void {
    const { collector } = this.#options;
    if (this.#announcement === undefined || this.isMember) return;
    const isWaiting = this.#announcedAt !== undefined &&
      collector.now - this.#announcedAt < APPEND_RETRY_MILLISECONDS;
    if (isWaiting) return;
    this.#announcedAt = collector.now;
    collector.add({
      kind: OutputKind.AppendRecord,
      append: collector.nextRequest(),
      record: this.#announcement,
    });
  }

  #removeSelf(): void {
    const departure = this.#departure;
    if (departure === undefined || !this.isMember) return;
    const { now } = this.#options.collector;
    if (now - departure.appendedAt < APPEND_RETRY_MILLISECONDS) return;
    departure.appendedAt = now;
    this.#appendRemoval(this.#options.self, departure.reason);
  }

  #removeSilentMembers(): void {
    const { timing, collector } = this.#options;
    if (collector.now < this.#nextSilenceCheckAt) return;
    this.#nextSilenceCheckAt = collector.now + timing.heartbeatMilliseconds;
    const silent = this.view.members().filter(({ joined }) =>
      this.heartbeats.silenceOf(joined.process) >= timing.removalMilliseconds
    );
    if (silent.length === 0 || !this.#isRemover()) return;
    for (const { joined } of silent) this.#appendRemovalOnce(joined.process);
  }

  /** The reachable sidecar that joined first writes the removals, so that one death costs one append. */
  #isRemover(): boolean {
    if (!this.isMember || !this.heartbeats.isMajorityReachable()) return false;
    const first = this.view.sidecars().find((member) =>
      this.heartbeats.isReachable(member.joined.process)
    );
    return first?.joined.process === this.#options.self &&
      first.joined.role === Role.Sidecar;
  }

  #appendRemovalOnce(peer: ProcessIdentifier): void {
    const { collector } = this.#options;
    const askedAt = this.#removalsAskedAt.get(peer);
    const isWaiting = askedAt !== undefined &&
      collector.now - askedAt < APPEND_RETRY_MILLISECONDS;
    if (isWaiting) return;
    this.#removalsAskedAt.set(peer, collector.now);
    collector.record(EventNumber.MemberUnreachable, "a member is silent", {
      severity: Severity.Warning,
      context: { member: peer },
    });
    this.#appendRemoval(peer, RemovalReason.Unreachable);
  }

  #appendRemoval(process: ProcessIdentifier, reason: RemovalReason): void {
    const { collector, self } = this.#options;
    collector.add({
      kind: OutputKind.AppendRecord,
      append: collector.nextRequest(),
      record: {
        kind: LogRecordKind.MemberRemoved,
        process,
        reason,
        reportedBy: self,
      },
    });
  }
}
