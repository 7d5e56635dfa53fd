/**
 * State of one process, as reported to operators. The size of a report does not grow with the work
 * done.
 */
import type { Epoch, LogOffset, Milliseconds } from "./identifiers.ts";
import type { ProcessIdentifier } from "./identifiers.ts";
import type { BackendServerDescription, Role } from "./log_record.ts";
import type { RunnerLoad, ShardEpoch } from "./peer_message.ts";

/** Whether a process accepts new work. */
export enum Readiness {
  /** The first configuration or the membership is not known yet. */
  Starting = "starting",
  Ready = "ready",
  /** A drain has begun. */
  Leaving = "leaving",
}

/** How far a process has read the platform's log. */
export interface LogReport {
  readonly nextOffset: LogOffset;
  readonly isAvailable: boolean;
  /**
   * Time since the start of the newest read that reached the end of the log; absent before the
   * first.
   */
  readonly lagMilliseconds?: Milliseconds;
}

/** The configuration in force in a process. */
export interface ConfigurationReport {
  readonly version: LogOffset;
  readonly publication: string;
  readonly publishedBy: string;
}

/** The members of the fleet as one process sees them. */
export interface FleetReport {
  readonly entries: number;
  readonly sidecars: number;
  /** Slots of all backend servers that sidecars have announced. */
  readonly slots: number;
  readonly reachable: number;
  readonly unreachable: readonly ProcessIdentifier[];
}

/** Fields that the reports of all roles share. */
export interface CommonReport {
  readonly process: ProcessIdentifier;
  readonly availabilityZone: string;
  /** Address at which peers reach the process. */
  readonly address: string;
  readonly readiness: Readiness;
  readonly log: LogReport;
  readonly configuration?: ConfigurationReport;
  readonly fleet: FleetReport;
}

/** Report of an entry. */
export interface EntryReport extends CommonReport {
  readonly role: Role.Entry;
  /** Requests of callers that wait for an answer. */
  readonly waitingRequests: number;
  /** Newest log offset up to which no claim is known to wait for its grant. */
  readonly epochToken: Epoch;
}

/** Report of a sidecar. */
export interface SidecarReport extends CommonReport {
  readonly role: Role.Sidecar;
  /** Absent while the backend server does not answer. */
  readonly backendServer?: BackendServerDescription;
  readonly load: RunnerLoad;
  readonly ownedShards: readonly ShardEpoch[];
  readonly grantedShards: readonly ShardEpoch[];
  /** Tasks that wait at the owner for a runner. */
  readonly waitingTasks: number;
}

/** Report of any process. */
export type ProcessReport = EntryReport | SidecarReport;
