/**
 * The part of a process report that all roles share: members, log position and configuration.
 */
import {
  type CommonReport,
  type ConfigurationReport,
  type FleetReport,
  type LogReport,
  type Milliseconds,
  type ProcessIdentifier,
  Readiness,
  Role,
} from "@eelgrassfront/model";
import type { FleetMembership } from "./fleet_membership.ts";

/** Identity and state of the reporting process. */
export interface FleetReportOptions {
  readonly self: ProcessIdentifier;
  readonly availabilityZone: string;
  readonly address: string;
  readonly now: Milliseconds;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
}

/** Builds the common part of the report from the membership state. */
export function reportFleet(
  membership: FleetMembership,
  options: FleetReportOptions,
): CommonReport {
  const { self, availabilityZone, address, now } = options;
  const report = {
    process: self,
    availabilityZone,
    address,
    readiness: readinessOf(options),
    log: reportLog(membership, now),
    fleet: reportMembers(membership),
  };
  const configuration = reportConfiguration(membership);
  return configuration === undefined ? report : { ...report, configuration };
}

function readinessOf({ isReady, isLeaving }: FleetReportOptions): Readiness {
  if (isLeaving) return Readiness.Leaving;
  return isReady ? Readiness.Ready : Readiness.Starting;
}

function reportLog(membership: FleetMembership, now: Milliseconds): LogReport {
  const { nextOffset, lastReadToEndAt } = membership.view;
  const report = { nextOffset, isAvailable: membership.isLogAvailable };
  return lastReadToEndAt === undefined
    ? report
    : { ...report, lagMilliseconds: Math.round(now - lastReadToEndAt) };
}

function reportConfiguration(
  membership: FleetMembership,
): ConfigurationReport | undefined {
  const version = membership.view.configuration.current;
  if (version === undefined) return undefined;
  const { offset, publication, publishedBy } = version;
  return { version: offset, publication, publishedBy };
}

function reportMembers(membership: FleetMembership): FleetReport {
  const members = membership.view.members().map(({ joined }) => joined);
  const unreachable = members.map(({ process }) => process)
    .filter((process) => !membership.heartbeats.isReachable(process));
  const sidecars = members.filter(({ role }) => role === Role.Sidecar);
  const slots = sidecars.map(({ backendServer }) => backendServer?.slots ?? 0);
  return {
    entries: members.length - sidecars.length,
    sidecars: sidecars.length,
    slots: slots.reduce((total, count) => total + count, 0),
    reachable: members.length - unreachable.length,
    unreachable,
  };
}
