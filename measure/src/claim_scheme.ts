/**
 * Schemes that ensure that no submission starts twice, and the load and failures under which they are
 * compared.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Schemes for claiming a submission. */
export enum ClaimScheme {
  /** A batched append to the log before each submission starts. */
  ClaimAppend = "claim-append",
  /** Tickets that are minted in advance, each bound to the process that coordinates the submission. */
  MintedTickets = "minted-tickets",
  /** A copy of each decision on a witness in another availability zone. */
  WitnessCopy = "witness-copy",
  /** Ownership of shards by log record, and start records at the runners. */
  OwnershipWithStartRecords = "ownership-with-evidence",
}

/** Failures that are injected during a run. */
export enum ClaimFailure {
  None = "none",
  NodeFailure = "one-death",
  RackFailure = "one-rack",
  ZonePartition = "zone-cut",
  LogOutage = "log-outage",
}

/** How a submission ended for its caller. */
export enum ClaimOutcome {
  Completed = "completed",
  Refused = "refused",
  Unknown = "unknown",
}

/** Load and failure of one run, the same for every scheme. */
export interface ClaimRunOptions {
  readonly seed: number;
  readonly failure: ClaimFailure;
}

/** Result of one run. */
export interface ClaimRun {
  readonly outcomes: readonly ClaimOutcome[];
  /** Response times of the completed submissions. */
  readonly responses: readonly Milliseconds[];
  readonly messages: number;
  readonly appends: number;
}

export const ENTRIES = 3;
export const NODES = 11;
export const COORDINATORS = 3;
export const SLOTS = 8;
export const ZONES = 3;
export const RACK_NODES = 3;
export const DELAY_MILLISECONDS: Milliseconds = 0.5;
export const APPEND_MILLISECONDS: Milliseconds = 4;
export const RUN_MILLISECONDS: Milliseconds = 50;
export const DEADLINE_MILLISECONDS: Milliseconds = 5_000;
export const SUBMISSION_INTERVAL_MILLISECONDS: Milliseconds = 5;
export const SUBMISSIONS = 1_600;
/** The failure occurs in the middle of the submissions. */
export const FAILURE_AT_MILLISECONDS: Milliseconds = 4_000;
export const OUTAGE_MILLISECONDS: Milliseconds = 3_000;
/** Silence after which a process counts as unreachable. */
export const DETECTION_MILLISECONDS: Milliseconds = 1_000;
export const LEASE_MILLISECONDS: Milliseconds = 1_000;
