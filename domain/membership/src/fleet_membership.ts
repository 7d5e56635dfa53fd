/**
 * Membership protocol of one process: applies the log to the fleet view, announces the process,
 * sends heartbeats, and removes members that have been unreachable for long.
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
import { IsolationDetector } from "./isolation_detector.ts";
import { RecordRefresher } from "./record_refresher.ts";
import { SeedQueries } from "./seed_queries.ts";
import type { MembershipTiming } from "./timing.ts";

/** Identity, timing and collaborators of a `FleetMembership`. */
export interface FleetMembershipOptions {
  readonly self: ProcessIdentifier;
  readonly role: Role;
  /** Number of sidecars that own shards at a time. Entries may omit it. */
  readonly ownerCount?: number;
  readonly timing: MembershipTiming;
  readonly collector: OutputCollector;
  /**
   * Addresses of processes that a starting process queries for the configuration while the log is
   * unavailable.
   */
  readonly seeds?: readonly string[];
}

/** Time after which an append whose record has not appeared in the log is repeated. */
const APPEND_RETRY_MILLISECONDS: Milliseconds = 1_000;
/** Longest time that a leaving process waits until the log shows its removal. */
const DEPARTURE_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;

interface Departure {
  readonly reason: RemovalReason;
  readonly startedAt: Milliseconds;
  appendedAt: Milliseconds;
}

/** Tracks the fleet and keeps one process a member of it. */
export class FleetMembership {
  readonly view: FleetView;
  readonly heartbeats: Heartbeats;
  readonly #options: FleetMembershipOptions;
  readonly #isolation: IsolationDetector;
  readonly #refresher: RecordRefresher;
  readonly #seedQueries: SeedQueries;
  #announcement: MemberJoined | undefined;
  #announcedAt: Milliseconds | undefined;
  #departure: Departure | undefined;
  #isLogAvailable = true;
  /** Next check for unreachable members. Only heartbeats detect them, so one check per heartbeat is enough. */
  #nextRemovalCheckAt: Milliseconds = 0;
  readonly #peersWithLostRequest = new Set<ProcessIdentifier>();
  #removalAppendedAt = new Map<ProcessIdentifier, Milliseconds>();

  constructor(options: FleetMembershipOptions) {
    this.#options = options;
    const { self, timing, collector } = options;
    this.#isolation = new IsolationDetector(collector);
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
    this.#seedQueries = new SeedQueries({
      collector,
      seeds: options.seeds ?? [],
    });
  }

  /** Whether the log shows this process as a member. */
  get isMember(): boolean {
    return this.view.find(this.#options.self) !== undefined;
  }

  /** Whether the newest read of the log succeeded. */
  get isLogAvailable(): boolean {
    return this.#isLogAvailable;
  }

  /**
   * Announces the process, and repeats the announcement until the log shows the process as a
   * member.
   */
  announce(announcement: MemberJoined): void {
    this.#announcement = announcement;
    this.#announcedAt = undefined;
  }

  /** Appends the removal of this process. `hasLeft` turns true once the log shows the removal. */
  leave(reason: RemovalReason): void {
    this.#announcement = undefined;
    const { now } = this.#options.collector;
    this.#departure = { reason, startedAt: now, appendedAt: -Infinity };
    this.#appendOwnRemoval();
  }

  /**
   * Whether the log shows the removal of this process, is unavailable, or has not shown the removal
   * in time.
   */
  get hasLeft(): boolean {
    if (this.#departure === undefined) return false;
    const elapsed = this.#options.collector.now - this.#departure.startedAt;
    return !this.isMember || !this.#isLogAvailable ||
      elapsed >= DEPARTURE_TIMEOUT_MILLISECONDS;
  }

  /** Time at which `tick` is next due. */
  nextAlarm(): Milliseconds {
    return this.heartbeats.nextAlarm();
  }

  /** Sends the heartbeats, records and seed queries that are due. */
  tick(): void {
    this.heartbeats.tick();
    this.#isolation.observe(this.heartbeats.isFresh());
    this.#announceIfDue();
    this.#appendOwnRemoval();
    this.#appendRemovalsOfUnreachableMembers();
    if (this.#announcement !== undefined) {
      this.#refresher.tick(this.#announcement);
    }
    if (this.view.configuration.current === undefined) {
      this.#seedQueries.tick();
    }
  }

  /** Handles an input from the log. */
  handleLogInput(input: PlatformLogInput): readonly FleetChange[] {
    switch (input.kind) {
      case InputKind.LogRecordsRead:
        return this.#applyRead(input);
      case InputKind.LogUnavailable:
        this.#recordUnavailable(input.error);
        return [];
      case InputKind.AppendConfirmed:
      case InputKind.AppendIndeterminate:
        // The records read from the log show which appends took effect, so the result of an append
        // needs no handling.
        return [];
      default:
        return assertNever(input);
    }
  }

  /** Records the event of a lost request, once for each peer until the peer replies again. */
  handleLostRequest(input: PeerRequestLost): void {
    if (this.#peersWithLostRequest.has(input.peer)) return;
    this.#peersWithLostRequest.add(input.peer);
    this.#options.collector.recordError(
      EventNumber.PeerRequestLost,
      input.error,
    );
  }

  /**
   * Handles the reply to a heartbeat.
   *
   * @returns the changes to the fleet that result from the reply
   */
  handleHeartbeatReply(
    { from, request }: PeerReplyArrived,
    answer: HeartbeatAnswered,
  ): readonly FleetChange[] {
    this.#peersWithLostRequest.delete(from);
    this.heartbeats.handleReply(request, answer);
    const version = answer.newerConfiguration;
    if (version === undefined) return [];
    const changes = this.view.adoptConfiguration(version, answer.logOffset);
    if (changes.length > 0) {
      this.#options.collector.record(
        EventNumber.ConfigurationLearntFromPeer,
        "adopted a newer configuration from a peer",
        { context: { version: version.offset } },
      );
      this.#applyConfiguration();
    }
    return changes;
  }

  /**
   * Handles a seed's reply that names the incarnation of the process at its address, and queries it.
   *
   * @returns false when the request was no query to a seed
   */
  redirectSeedQuery(
    request: RequestIdentifier,
    answer: IncarnationMismatch,
  ): boolean {
    return this.#seedQueries.redirect(request, answer.current);
  }

  #applyRead(input: LogRecordsRead): readonly FleetChange[] {
    this.#recordAvailable();
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
        "skipped a log record that violates the protocol",
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

  #recordAvailable(): void {
    if (this.#isLogAvailable) return;
    this.#isLogAvailable = true;
    this.#options.collector.record(
      EventNumber.LogAvailable,
      "the log is available again",
    );
  }

  #recordUnavailable(error: ProcessError): void {
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

  #appendOwnRemoval(): void {
    const departure = this.#departure;
    if (departure === undefined || !this.isMember) return;
    const { now } = this.#options.collector;
    if (now - departure.appendedAt < APPEND_RETRY_MILLISECONDS) return;
    departure.appendedAt = now;
    this.#appendRemoval(this.#options.self, departure.reason);
  }

  #appendRemovalsOfUnreachableMembers(): void {
    const { timing, collector } = this.#options;
    if (collector.now < this.#nextRemovalCheckAt) return;
    this.#nextRemovalCheckAt = collector.now + timing.heartbeatMilliseconds;
    const unreachable = this.view.members().filter(({ joined }) =>
      this.heartbeats.timeSinceReply(joined.process) >=
        timing.removalMilliseconds
    );
    if (unreachable.length === 0 || !this.#isRemover()) return;
    for (const { joined } of unreachable) {
      this.#appendRemovalOnce(joined.process);
    }
  }

  /**
   * Only the reachable sidecar that joined first appends removals, so that the loss of a member
   * costs one append.
   */
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
    const appendedAt = this.#removalAppendedAt.get(peer);
    const isWaiting = appendedAt !== undefined &&
      collector.now - appendedAt < APPEND_RETRY_MILLISECONDS;
    if (isWaiting) return;
    this.#removalAppendedAt.set(peer, collector.now);
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
