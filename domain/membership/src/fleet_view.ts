/**
 * The fleet as one process sees it: members, ownership and configuration, folded from the log, with
 * the position and the time of the newest read.
 */
import {
  type ConfigurationTracker,
  type PublicationEvaluation,
  PublicationVerdict,
} from "@eelgrassfront/configuration";
import {
  assertNever,
  type ConfigurationVersion,
  type LogOffset,
  LogRecordKind,
  type LogRecordsRead,
  type MemberJoined,
  type MemberRemoved,
  type Milliseconds,
  type ProcessIdentifier,
  processName,
  RemovalReason,
  Role,
  type ShardNumber,
  type ShardsClaimed,
  type StoredRecord,
} from "@eelgrassfront/model";
import type { Ownership, OwnershipTable } from "@eelgrassfront/ownership";

/** A member of the fleet. */
export interface Member {
  readonly joined: MemberJoined;
  /** Offset of the record with which the member first joined. */
  readonly joinOffset: LogOffset;
  /** Time at which the log stored the member's newest announcement, on the log's clock. */
  readonly announcedAt: Milliseconds;
}

/** A member that is no longer in the fleet. */
export interface DepartedMember {
  readonly member: Member;
  readonly reason: RemovalReason;
  /** Time at which the log stored the removal, on the log's clock. */
  readonly removedAt: Milliseconds;
}

/** Kinds of changes to the fleet. */
export enum FleetChangeKind {
  MemberJoined = "member-joined",
  MemberDeparted = "member-departed",
  OwnershipChanged = "ownership-changed",
  PublicationEvaluated = "configuration-judged",
  ConfigurationInForce = "configuration-in-force",
}

/** A process joined. */
export interface MemberJoinedChange {
  readonly kind: FleetChangeKind.MemberJoined;
  readonly member: Member;
}

/** A process left, was replaced or was removed as unreachable. */
export interface MemberDepartedChange {
  readonly kind: FleetChangeKind.MemberDeparted;
  readonly departed: DepartedMember;
}

/** A shard has a new owner. */
export interface OwnershipChange {
  readonly kind: FleetChangeKind.OwnershipChanged;
  readonly ownership: Ownership;
}

/** A publication of a configuration was evaluated. */
export interface PublicationEvaluatedChange {
  readonly kind: FleetChangeKind.PublicationEvaluated;
  readonly evaluation: PublicationEvaluation;
}

/** A newer configuration is in force. */
export interface ConfigurationInForceChange {
  readonly kind: FleetChangeKind.ConfigurationInForce;
  readonly version: ConfigurationVersion;
}

/** Any change to the fleet. */
export type FleetChange =
  | MemberJoinedChange
  | MemberDepartedChange
  | OwnershipChange
  | PublicationEvaluatedChange
  | ConfigurationInForceChange;

/** Components to which a view applies log records. */
export interface FleetViewOptions {
  readonly ownership: OwnershipTable;
  readonly configuration: ConfigurationTracker;
  /** Time for which departed members are kept. */
  readonly horizonMilliseconds: Milliseconds;
}

const FIRST_OFFSET: LogOffset = 1;

/** View of the fleet as of the newest log record that was read. */
export class FleetView {
  readonly ownership: OwnershipTable;
  readonly configuration: ConfigurationTracker;
  readonly #horizonMilliseconds: Milliseconds;
  readonly #members = new Map<ProcessIdentifier, Member>();
  readonly #departed = new Map<ProcessIdentifier, DepartedMember>();
  readonly #memberByName = new Map<string, Member>();
  /** Cached until the next change, since every step reads the lists. */
  #memberList: readonly Member[] | undefined;
  #sidecarList: readonly Member[] | undefined;
  #nextOffset: LogOffset = FIRST_OFFSET;
  #logClock: Milliseconds = 0;
  #lastReadToEndAt: Milliseconds | undefined;
  #gapDetectedAt: Milliseconds | undefined;
  readonly #shardsRecordedAt = new Map<ShardNumber, Milliseconds>();
  #configurationRecordedAt: Milliseconds | undefined;

  constructor(options: FleetViewOptions) {
    this.ownership = options.ownership;
    this.configuration = options.configuration;
    this.#horizonMilliseconds = options.horizonMilliseconds;
  }

  /** Log offset at which the next read begins. */
  get nextOffset(): LogOffset {
    return this.#nextOffset;
  }

  /** Start time of the newest read that reached the end of the log; undefined before the first. */
  get lastReadToEndAt(): Milliseconds | undefined {
    return this.#lastReadToEndAt;
  }

  /** Reading of the log's clock at the newest read. */
  get logClock(): Milliseconds {
    return this.#logClock;
  }

  /**
   * Local time at which a read showed that retention dropped unread records; undefined if none did.
   */
  get gapDetectedAt(): Milliseconds | undefined {
    return this.#gapDetectedAt;
  }

  /** Time at which the log stored the newest record of a shard's ownership, on the log's clock. */
  shardRecordedAt(shard: ShardNumber): Milliseconds | undefined {
    return this.#shardsRecordedAt.get(shard);
  }

  /** Time at which the log stored the newest record of the version in force, on the log's clock. */
  get configurationRecordedAt(): Milliseconds | undefined {
    return this.#configurationRecordedAt;
  }

  /** Finds a member by its identifier. */
  find(process: ProcessIdentifier): Member | undefined {
    return this.#members.get(process);
  }

  /** All members. */
  members(): readonly Member[] {
    this.#memberList ??= [...this.#members.values()];
    return this.#memberList;
  }

  /** All sidecars, in the order in which they joined. */
  sidecars(): readonly Member[] {
    this.#sidecarList ??= this.members()
      .filter((member) => member.joined.role === Role.Sidecar)
      .sort((left, right) => left.joinOffset - right.joinOffset);
    return this.#sidecarList;
  }

  /** Members that departed within the horizon. */
  departed(): readonly DepartedMember[] {
    return [...this.#departed.values()];
  }

  /** Applies the records of one read and returns the resulting changes. */
  applyRead(input: LogRecordsRead): readonly FleetChange[] {
    if (input.firstRetained > this.#nextOffset) {
      this.configuration.markMissingBefore(input.firstRetained);
      this.ownership.markMissingBefore(input.firstRetained);
      this.#gapDetectedAt = input.readStartedAt;
    }
    const changes = input.records
      .filter((stored) => stored.offset >= this.#nextOffset)
      .flatMap((stored) => this.#apply(stored));
    this.#nextOffset = Math.max(this.#nextOffset, input.nextOffset);
    this.#logClock = Math.max(this.#logClock, input.logClock);
    if (input.isAtEnd) this.#lastReadToEndAt = input.readStartedAt;
    this.#expireDepartures();
    return changes;
  }

  /** Adopts a configuration received from a peer, if it is newer. */
  adoptConfiguration(
    received: ConfigurationVersion,
    readTo: LogOffset,
  ): readonly FleetChange[] {
    const isChanged = this.configuration.adopt(received, readTo);
    const version = this.configuration.current;
    if (!isChanged || version === undefined) return [];
    this.#configurationRecordedAt = this.#logClock;
    return [{ kind: FleetChangeKind.ConfigurationInForce, version }];
  }

  #apply(stored: StoredRecord): readonly FleetChange[] {
    const { record, offset } = stored;
    switch (record.kind) {
      case LogRecordKind.MemberJoined:
        return this.#applyJoin(stored, record);
      case LogRecordKind.MemberRemoved:
        return this.#applyRemoval(stored, record);
      case LogRecordKind.ShardsClaimed:
        return this.#applyClaim(stored, record);
      case LogRecordKind.ConfigurationPublished: {
        const evaluation = this.configuration.apply(offset, record);
        if (this.configuration.lastRecordOffset === offset) {
          this.#configurationRecordedAt = stored.appendedAt;
        }
        return this.#configurationChanges(evaluation);
      }
      default:
        return assertNever(record);
    }
  }

  #applyClaim(
    stored: StoredRecord,
    record: ShardsClaimed,
  ): readonly FleetChange[] {
    const changed = this.ownership.apply(stored.offset, record);
    for (const { shard } of record.claims) {
      const ownership = this.ownership.find(shard);
      if (ownership?.lastRecordOffset !== stored.offset) continue;
      this.#shardsRecordedAt.set(shard, stored.appendedAt);
    }
    return changed.map((ownership) => ({
      kind: FleetChangeKind.OwnershipChanged,
      ownership,
    }));
  }

  #configurationChanges(
    evaluation: PublicationEvaluation,
  ): readonly FleetChange[] {
    const evaluated: FleetChange = {
      kind: FleetChangeKind.PublicationEvaluated,
      evaluation,
    };
    const version = this.configuration.current;
    if (
      evaluation.verdict !== PublicationVerdict.Accepted ||
      version === undefined
    ) {
      return [evaluated];
    }
    return [evaluated, { kind: FleetChangeKind.ConfigurationInForce, version }];
  }

  #applyJoin(
    stored: StoredRecord,
    joined: MemberJoined,
  ): readonly FleetChange[] {
    const known = this.#members.get(joined.process);
    const member = {
      joined,
      joinOffset: known?.joinOffset ?? joined.firstOffset ?? stored.offset,
      announcedAt: stored.appendedAt,
    };
    const replaced = known === undefined
      ? this.#earlierIncarnation(joined.process)
      : undefined;
    const departures = replaced === undefined
      ? []
      : this.#depart(replaced, RemovalReason.Replaced, stored.appendedAt);
    this.#members.set(joined.process, member);
    this.#memberByName.set(processName(joined.process), member);
    this.#invalidateLists();
    this.#departed.delete(joined.process);
    if (known !== undefined) return departures;
    return [...departures, { kind: FleetChangeKind.MemberJoined, member }];
  }

  #applyRemoval(
    stored: StoredRecord,
    record: MemberRemoved,
  ): readonly FleetChange[] {
    const member = this.#members.get(record.process);
    if (member === undefined) return [];
    return this.#depart(member, record.reason, stored.appendedAt);
  }

  #depart(
    member: Member,
    reason: RemovalReason,
    removedAt: Milliseconds,
  ): readonly FleetChange[] {
    const departed = { member, reason, removedAt };
    this.#members.delete(member.joined.process);
    this.#memberByName.delete(processName(member.joined.process));
    this.#invalidateLists();
    this.#departed.set(member.joined.process, departed);
    return [{ kind: FleetChangeKind.MemberDeparted, departed }];
  }

  #earlierIncarnation(process: ProcessIdentifier): Member | undefined {
    return this.#memberByName.get(processName(process));
  }

  #invalidateLists(): void {
    this.#memberList = undefined;
    this.#sidecarList = undefined;
  }

  #expireDepartures(): void {
    for (const [process, { removedAt }] of this.#departed) {
      if (this.#logClock - removedAt > this.#horizonMilliseconds) {
        this.#departed.delete(process);
      }
    }
  }
}
