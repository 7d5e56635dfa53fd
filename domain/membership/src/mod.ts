/**
 * Membership of the fleet as one process sees it: members, heartbeats, and freshness of the view.
 */
export * from "./fleet_membership.ts";
export * from "./fleet_report.ts";
export * from "./fleet_view.ts";
export * from "./heartbeats.ts";
export * from "./timing.ts";
export * from "./heartbeat_targets.ts";
