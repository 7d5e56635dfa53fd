/**
 * Records of the platform's log. Every process reads them in log order and applies the same
 * validity rules, so that all processes resolve a race in the same way.
 */
import type {
  Epoch,
  LogOffset,
  Milliseconds,
  ProcessIdentifier,
  ShardNumber,
} from "./identifiers.ts";
import type { Configuration } from "./configuration.ts";

/** Roles of a process. */
export enum Role {
  Entry = "entry",
  Sidecar = "sidecar",
}

/** Kinds of log records. */
export enum LogRecordKind {
  MemberJoined = "member-joined",
  MemberRemoved = "member-removed",
  ShardsClaimed = "shards-claimed",
  ConfigurationPublished = "configuration-published",
}

/** A process announces itself. A sidecar also announces its backend server. */
export interface MemberJoined {
  readonly kind: LogRecordKind.MemberJoined;
  readonly process: ProcessIdentifier;
  readonly role: Role;
  readonly availabilityZone: string;
  /** Address at which peers reach the process, as `host:port`. */
  readonly address: string;
  readonly backendServer?: BackendServerDescription;
  /** For a refresh: the offset of the record with which the process first joined. */
  readonly firstOffset?: LogOffset;
}

/** A backend server as its sidecar announces it. */
export interface BackendServerDescription {
  readonly service: string;
  readonly slots: number;
  readonly processorCores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** Why a member was removed. */
export enum RemovalReason {
  /** The process left, and another runner keeps its start records. */
  Left = "left",
  /** The process left, and no runner keeps its start records. */
  LeftWithoutRecords = "left-without-records",
  Unreachable = "unreachable",
  Replaced = "replaced",
}

/** A member left, was replaced or became unreachable. */
export interface MemberRemoved {
  readonly kind: LogRecordKind.MemberRemoved;
  readonly process: ProcessIdentifier;
  readonly reason: RemovalReason;
  readonly reportedBy: ProcessIdentifier;
}

/** Claim of one shard, valid only when it names the epoch that it replaces. */
export interface ShardClaim {
  readonly shard: ShardNumber;
  readonly replaces: Epoch;
}

/** Why shards are claimed. */
export enum ClaimReason {
  /** No process owns the shards. */
  Unowned = "unowned",
  /** The owner has departed or is unreachable, or the log no longer shows who it is. */
  Takeover = "takeover",
  /** The owner is leaving and has suspended its grant. */
  Handover = "hand-over",
  /** The owner repeats its claim before retention drops it; the epoch stays the same. */
  Refresh = "refresh",
}

/** A process claims shards. The offset of the record becomes the epoch of each valid claim. */
export interface ShardsClaimed {
  readonly kind: LogRecordKind.ShardsClaimed;
  readonly claimant: ProcessIdentifier;
  readonly reason: ClaimReason;
  readonly claims: readonly ShardClaim[];
  /** The claimant had read every record below this offset when it decided on the claims. */
  readonly readTo?: LogOffset;
  /**
   * For a claim of shards whose ownership is no longer in the log: the claimant found no record of
   * them from this offset on. The claim is valid only when there is none.
   */
  readonly unseenSince?: LogOffset;
}

/** Operators publish a whole version of the configuration. */
export interface ConfigurationPublished {
  readonly kind: LogRecordKind.ConfigurationPublished;
  /** Identifier set by the publisher, so that a repeated append is recognised. */
  readonly publication: string;
  /** Offset of the version that this one replaces; 0 for the first. */
  readonly replaces: LogOffset;
  /** For a refresh: the offset under which the version was first accepted. */
  readonly firstOffset?: LogOffset;
  /** The publisher had read every record below this offset when it published the version. */
  readonly readTo?: LogOffset;
  readonly publishedBy: string;
  readonly configuration: Configuration;
}

/** Any log record. */
export type LogRecord =
  | MemberJoined
  | MemberRemoved
  | ShardsClaimed
  | ConfigurationPublished;

/** A log record with its offset and its time. */
export interface StoredRecord {
  readonly offset: LogOffset;
  /** When the log stored the record, on the log's own clock. */
  readonly appendedAt: Milliseconds;
  readonly record: LogRecord;
}

/** An accepted version of the configuration; its offset is its version number. */
export interface ConfigurationVersion {
  readonly offset: LogOffset;
  readonly publication: string;
  readonly publishedBy: string;
  readonly configuration: Configuration;
}
