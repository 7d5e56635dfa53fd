/**
 * Repeats what must not be lost before the log's retention drops it: each process its own announcement,
 * each owner its claims, and one process the configuration. The processes stagger themselves, so that
 * the log carries the refreshes of a fleet that started at once, and the configuration is refreshed by
 * the first in line, or by the next when the first did not.
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

/** What a refresher needs. */
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

/** Share of the retention after which a record is repeated, at the earliest. */
const EARLIEST_SHARE = 0.4;
/** Share of the retention over which the processes spread their refreshes. */
const SPREAD_SHARE = 0.2;
/** Share of the retention that each place in line adds for the configuration. */
const PLACE_SHARE = 0.02;
const MAXIMUM_PLACE = 20;
const HASH_RANGE = 2 ** 32;
/** Time after which a refresh that did not show in the log is made again. */
const REFRESH_RETRY_MILLISECONDS: Milliseconds = 5_000;
/** Time between two looks for records that grow old. */
const REFRESH_CHECK_MILLISECONDS: Milliseconds = 100;

/** Repeats records that grow old. */
export class RecordRefresher {
  readonly #options: RecordRefresherOptions;
  /** Share of the retention after which this process repeats its own records. */
  readonly #ownShare: number;
  readonly #refreshedAt = new Map<RefreshKind, Milliseconds>();
  #nextCheckAt: Milliseconds = 0;

  constructor(options: RecordRefresherOptions) {
    this.#options = options;
    const place = stableHash(`refresh ${options.self}`) / HASH_RANGE;
    this.#ownShare = EARLIEST_SHARE + SPREAD_SHARE * place;
  }

  /** Repeats what is due, on behalf of a process with this announcement. */
  tick(announcement: MemberJoined): void {
    const { view, collector } = this.#options;
    const isDue = collector.now >= this.#nextCheckAt;
    if (!isDue || view.lastReadToEndAt === undefined) return;
    this.#nextCheckAt = collector.now + REFRESH_CHECK_MILLISECONDS;
    this.#refreshAnnouncement(announcement);
    this.#refreshClaims();
    this.#refreshConfiguration();
  }

  #refreshAnnouncement(announcement: MemberJoined): void {
    const { self, view } = this.#options;
    const member = view.find(self);
    if (member === undefined) return;
    if (!this.#isOld(member.announcedAt, this.#ownShare)) return;
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
    const isAnyOld = owned.some(({ shard }) =>
      this.#isOld(view.shardRecordedAt(shard), this.#ownShare)
    );
    if (!isAnyOld) return;
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
    const { current, isDecided } = view.configuration;
    if (current === undefined || !isDecided) return;
    const share = EARLIEST_SHARE + PLACE_SHARE * this.#placeInLine();
    if (!this.#isOld(view.configurationRecordedAt, share)) return;
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

  #placeInLine(): number {
    const { self, view } = this.#options;
    const place = view.sidecars().findIndex(({ joined }) =>
      joined.process === self && joined.role === Role.Sidecar
    );
    return place < 0 ? MAXIMUM_PLACE : Math.min(place, MAXIMUM_PLACE);
  }

  #isOld(recordedAt: Milliseconds | undefined, share: number): boolean {
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
