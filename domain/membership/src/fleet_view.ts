/**
 * What one process knows of the fleet: members, ownership and configuration, folded from the log, and
 * how far and how recently the log has been read.
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
  /** Offset of the record with which it first joined. */
  readonly joinOffset: LogOffset;
  /** When its newest announcement was stored, on the log's clock. */
  readonly announcedAt: Milliseconds;
}

/** A member that is no longer in the fleet. */
export interface DepartedMember {
  readonly member: Member;
  readonly reason: RemovalReason;
  /** When the removal was stored, on the log's clock. */
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

/** A process left, was replaced or was found dead. */
export interface MemberDepartedChange {
  readonly kind: FleetChangeKind.MemberDeparted;
  readonly departed: DepartedMember;
}

/** A shard changed hands. */
export interface OwnershipChange {
  readonly kind: FleetChangeKind.OwnershipChanged;
  readonly ownership: Ownership;
}

/** A publication was judged. */
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

/** Parts that a view folds records into. */
export interface FleetViewOptions {
  readonly ownership: OwnershipTable;
  readonly configuration: ConfigurationTracker;
  /** How long departed members are remembered. */
  readonly horizonMilliseconds: Milliseconds;
}

const FIRST_OFFSET: LogOffset = 1;

/** The fleet as far as the log has been read. */
export class FleetView {
  readonly ownership: OwnershipTable;
  readonly configuration: ConfigurationTracker;
  readonly #horizonMilliseconds: Milliseconds;
  readonly #members = new Map<ProcessIdentifier, Member>();
  readonly #departed = new Map<ProcessIdentifier, DepartedMember>();
  readonly #memberByName = new Map<string, Member>();
  /** Lists that are made once after each change, since they are asked for at every step. */
  #memberList: readonly Member[] | undefined;
  #sidecarList: readonly Member[] | undefined;
  #nextOffset: LogOffset = FIRST_OFFSET;
  #logClock: Milliseconds = 0;
  #lastReadToEndAt: Milliseconds | undefined;
  #missedRecordsAt: Milliseconds | undefined;
  readonly #shardsRecordedAt = new Map<ShardNumber, Milliseconds>();
  #configurationRecordedAt: Milliseconds | undefined;

  constructor(options: FleetViewOptions) {
    this.ownership = options.ownership;
    this.configuration = options.configuration;
    this.#horizonMilliseconds = options.horizonMilliseconds;
  }

  /** Offset at which the log is read next. */
  get nextOffset(): LogOffset {
    return this.#nextOffset;
  }

  /** When a read that reached the end of the log began; undefined before the first. */
  get lastReadToEndAt(): Milliseconds | undefined {
    return this.#lastReadToEndAt;
  }

  /** The log's clock at the newest read. */
  get logClock(): Milliseconds {
    return this.#logClock;
  }

  /** Local time at which it showed that older records are missing; undefined while none are. */
  get gapDetectedAt(): Milliseconds | undefined {
    return this.#missedRecordsAt;
  }

  /** When the newest record of a shard's ownership was stored, on the log's clock. */
  shardRecordedAt(shard: ShardNumber): Milliseconds | undefined {
    return this.#shardsRecordedAt.get(shard);
  }

  /** When the newest record of the version in force was stored, on the log's clock. */
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

  /** Folds the records of one read. */
  applyRead(input: LogRecordsRead): readonly FleetChange[] {
    if (input.firstRetained > this.#nextOffset) {
      this.configuration.markMissingBefore(input.firstRetained);
      this.ownership.markMissingBefore(input.firstRetained);
      this.#missedRecordsAt = input.readStartedAt;
    }
    const changes = input.records
      .filter((placed) => placed.offset >= this.#nextOffset)
      .flatMap((placed) => this.#apply(placed));
    this.#nextOffset = Math.max(this.#nextOffset, input.nextOffset);
    this.#logClock = Math.max(this.#logClock, input.logClock);
    if (input.isAtEnd) this.#lastReadToEndAt = input.readStartedAt;
    this.#forgetOldDepartures();
    return changes;
  }

  /** Takes a configuration learnt from a peer. */
  adoptConfiguration(
    learnt: ConfigurationVersion,
    readTo: LogOffset,
  ): readonly FleetChange[] {
    const isChanged = this.configuration.adopt(learnt, readTo);
    const version = this.configuration.current;
    if (!isChanged || version === undefined) return [];
    this.#configurationRecordedAt = this.#logClock;
    return [{ kind: FleetChangeKind.ConfigurationInForce, version }];
  }

  #apply(placed: StoredRecord): readonly FleetChange[] {
    const { record, offset } = placed;
    switch (record.kind) {
      case LogRecordKind.MemberJoined:
        return this.#join(placed, record);
      case LogRecordKind.MemberRemoved:
        return this.#remove(placed, record);
      case LogRecordKind.ShardsClaimed:
        return this.#claim(placed, record);
      case LogRecordKind.ConfigurationPublished: {
        const judgement = this.configuration.apply(offset, record);
        if (this.configuration.lastRecordOffset === offset) {
          this.#configurationRecordedAt = placed.appendedAt;
        }
        return this.#configurationChanges(judgement);
      }
      default:
        return assertNever(record);
    }
  }

  #claim(placed: StoredRecord, record: ShardsClaimed): readonly FleetChange[] {
    const changed = this.ownership.apply(placed.offset, record);
    for (const { shard } of record.claims) {
      const ownership = this.ownership.find(shard);
      if (ownership?.lastRecordOffset !== placed.offset) continue;
      this.#shardsRecordedAt.set(shard, placed.appendedAt);
    }
    return changed.map((ownership) => ({
      kind: FleetChangeKind.OwnershipChanged,
      ownership,
    }));
  }

  #configurationChanges(
    judgement: PublicationEvaluation,
  ): readonly FleetChange[] {
    const judged: FleetChange = {
      kind: FleetChangeKind.PublicationEvaluated,
      evaluation: judgement,
    };
    const version = this.configuration.current;
    if (
      judgement.verdict !== PublicationVerdict.Accepted || version === undefined
    ) {
      return [judged];
    }
    return [judged, { kind: FleetChangeKind.ConfigurationInForce, version }];
  }

  #join(placed: StoredRecord, joined: MemberJoined): readonly FleetChange[] {
    const known = this.#members.get(joined.process);
    const member = {
      joined,
      joinOffset: known?.joinOffset ?? joined.firstOffset ?? placed.offset,
      announcedAt: placed.appendedAt,
    };
    const replaced = known === undefined
      ? this.#earlierIncarnation(joined.process)
      : undefined;
    const departures = replaced === undefined
      ? []
      : this.#depart(replaced, RemovalReason.Replaced, placed.appendedAt);
    this.#members.set(joined.process, member);
    this.#memberByName.set(processName(joined.process), member);
    this.#forgetLists();
    this.#departed.delete(joined.process);
    if (known !== undefined) return departures;
    return [...departures, { kind: FleetChangeKind.MemberJoined, member }];
  }

  #remove(placed: StoredRecord, record: MemberRemoved): readonly FleetChange[] {
    const member = this.#members.get(record.process);
    if (member === undefined) return [];
    return this.#depart(member, record.reason, placed.appendedAt);
  }

  #depart(
    member: Member,
    reason: RemovalReason,
    removedAt: Milliseconds,
  ): readonly FleetChange[] {
    const departed = { member, reason, removedAt };
    this.#members.delete(member.joined.process);
    this.#memberByName.delete(processName(member.joined.process));
    this.#forgetLists();
    this.#departed.set(member.joined.process, departed);
    return [{ kind: FleetChangeKind.MemberDeparted, departed }];
  }

  #earlierIncarnation(process: ProcessIdentifier): Member | undefined {
    return this.#memberByName.get(processName(process));
  }

  #forgetLists(): void {
    this.#memberList = undefined;
    this.#sidecarList = undefined;
  }

  #forgetOldDepartures(): void {
    for (const [process, { removedAt }] of this.#departed) {
      if (this.#logClock - removedAt > this.#horizonMilliseconds) {
        this.#departed.delete(process);
      }
    }
  }
}
