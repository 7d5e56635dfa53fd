/**
 * Repeats records before the log's retention drops them: each process its own announcement, each
 * owner its claims, and one process the configuration. The processes spread their refreshes over
 * time, so that a fleet that started at the same moment does not overload the log. The first
 * sidecar in join order refreshes the configuration; the next one does so if the first did not.
 */
import {
  ClaimReason,
  LogRecordKind,
  type MemberJoined,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  Role,
  type ShardClaim,
} from "@eelgrassfront/model";
import type { LogRecord } from "@eelgrassfront/model";
import { stableHash } from "@eelgrassfront/ownership";
import type { FleetView } from "./fleet_view.ts";
import type { MembershipTiming } from "./timing.ts";

/** Identity, timing and collaborators of a `RecordRefresher`. */
export interface RecordRefresherOptions {
  readonly self: ProcessIdentifier;
  readonly view: FleetView;
  readonly timing: MembershipTiming;
  readonly collector: OutputCollector;
}

enum RefreshKind {
  Announcement = "announcement",
  Claims = "claims",
  Configuration = "configuration",
}

/** Share of the retention before which no record is repeated. */
const EARLIEST_SHARE = 0.4;
/** Share of the retention over which the processes spread their refreshes. */
const SPREAD_SHARE = 0.2;
/**
 * Share of the retention by which each later sidecar in join order delays its refresh of the
 * configuration.
 */
const POSITION_SHARE = 0.02;
/** Highest position in join order that is counted; entries use it too. */
const MAXIMUM_POSITION = 20;
const HASH_RANGE = 2 ** 32;
/** Time after which a refresh that has not appeared in the log is repeated. */
const REFRESH_RETRY_MILLISECONDS: Milliseconds = 5_000;
/** Time between two checks for records that are due. */
const REFRESH_CHECK_MILLISECONDS: Milliseconds = 100;

/** Repeats records before retention drops them. */
export class RecordRefresher {
  readonly #options: RecordRefresherOptions;
  /** Share of the retention after which this process repeats its own records. */
  readonly #ownShare: number;
  readonly #refreshedAt = new Map<RefreshKind, Milliseconds>();
  #nextCheckAt: Milliseconds = 0;

  constructor(options: RecordRefresherOptions) {
    this.#options = options;
    const fraction = stableHash(`refresh ${options.self}`) / HASH_RANGE;
    this.#ownShare = EARLIEST_SHARE + SPREAD_SHARE * fraction;
  }

  /** Repeats the records that are due. The announcement is the one of this process. */
  tick(announcement: MemberJoined): void {
    const { view, collector } = this.#options;
    const isCheckDue = collector.now >= this.#nextCheckAt;
    if (!isCheckDue || view.lastReadToEndAt === undefined) return;
    this.#nextCheckAt = collector.now + REFRESH_CHECK_MILLISECONDS;
    this.#refreshAnnouncement(announcement);
    this.#refreshClaims();
    this.#refreshConfiguration();
  }

  #refreshAnnouncement(announcement: MemberJoined): void {
    const { self, view } = this.#options;
    const member = view.find(self);
    if (member === undefined) return;
    if (!this.#isDue(member.announcedAt, this.#ownShare)) return;
    this.#append(RefreshKind.Announcement, {
      ...announcement,
      firstOffset: member.joinOffset,
    });
  }

  #refreshClaims(): void {
    const { self, view } = this.#options;
    const owned = [...view.ownership.all()].filter(({ shard, owner }) =>
      owner === self && view.ownership.isEpochKnown(shard)
    );
    const isAnyDue = owned.some(({ shard }) =>
      this.#isDue(view.shardRecordedAt(shard), this.#ownShare)
    );
    if (!isAnyDue) return;
    const claims: readonly ShardClaim[] = owned.map(({ shard, epoch }) => ({
      shard,
      replaces: epoch,
    }));
    this.#append(RefreshKind.Claims, {
      kind: LogRecordKind.ShardsClaimed,
      claimant: self,
      reason: ClaimReason.Refresh,
      claims,
      readTo: view.nextOffset,
    });
  }

  #refreshConfiguration(): void {
    const { view } = this.#options;
    const { current, canEvaluate } = view.configuration;
    if (current === undefined || !canEvaluate) return;
    const share = EARLIEST_SHARE + POSITION_SHARE * this.#joinPosition();
    if (!this.#isDue(view.configurationRecordedAt, share)) return;
    const { offset, publication, publishedBy, configuration } = current;
    this.#append(RefreshKind.Configuration, {
      kind: LogRecordKind.ConfigurationPublished,
      publication,
      replaces: 0,
      firstOffset: offset,
      readTo: view.nextOffset,
      publishedBy,
      configuration,
    });
  }

  #joinPosition(): number {
    const { self, view } = this.#options;
    const position = view.sidecars().findIndex(({ joined }) =>
      joined.process === self && joined.role === Role.Sidecar
    );
    return position < 0
      ? MAXIMUM_POSITION
      : Math.min(position, MAXIMUM_POSITION);
  }

  #isDue(recordedAt: Milliseconds | undefined, share: number): boolean {
    const { timing, view } = this.#options;
    const age = view.logClock - (recordedAt ?? -Infinity);
    return age >= timing.retentionMilliseconds * share;
  }

  #append(kind: RefreshKind, record: LogRecord): void {
    const { collector } = this.#options;
    const refreshedAt = this.#refreshedAt.get(kind) ?? -Infinity;
    if (collector.now - refreshedAt < REFRESH_RETRY_MILLISECONDS) return;
    this.#refreshedAt.set(kind, collector.now);
    collector.add({
      kind: OutputKind.AppendRecord,
      append: collector.nextRequest(),
      record,
    });
  }
}
