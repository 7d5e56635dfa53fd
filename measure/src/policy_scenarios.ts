/**
 * The policies that are compared, and scenarios at the current size of the fleet.
 */
import { QueueDisciplineKind } from "@eelgrassfront/fairness";
import type { Configuration, Milliseconds } from "@eelgrassfront/model";
import {
  PlacementPolicyKind,
  SLOT_QUOTA_PLACEMENT,
} from "@eelgrassfront/placement";
import { generateLoad, type LoadStream } from "./policy_load.ts";
import type { NamedPolicy, PolicyRunOptions } from "./policy_run.ts";

/** The policy that the daemon uses. */
export const SYSTEM_POLICY: NamedPolicy = {
  name: "slot quotas, weighted shares",
  placementPolicy: SLOT_QUOTA_PLACEMENT,
  queueDiscipline: QueueDisciplineKind.WeightedShares,
};

const WAITING_PER_RUNNER = 2;

/** Policies that the daemon's policy is compared with. */
export const BASELINE_POLICIES: readonly NamedPolicy[] = [
  {
    name: "random, first come",
    placementPolicy: { kind: PlacementPolicyKind.Random },
    queueDiscipline: QueueDisciplineKind.FirstComeFirstServed,
  },
  {
    name: "round robin, first come",
    placementPolicy: { kind: PlacementPolicyKind.RoundRobin },
    queueDiscipline: QueueDisciplineKind.FirstComeFirstServed,
  },
  {
    name: "least loaded, first come",
    placementPolicy: {
      kind: PlacementPolicyKind.LeastLoaded,
      waitingPerRunner: WAITING_PER_RUNNER,
    },
    queueDiscipline: QueueDisciplineKind.FirstComeFirstServed,
  },
  {
    name: "least loaded, least served",
    placementPolicy: {
      kind: PlacementPolicyKind.LeastLoaded,
      waitingPerRunner: WAITING_PER_RUNNER,
    },
    queueDiscipline: QueueDisciplineKind.LeastServedSubmission,
  },
];

/** Kinds of work in the runs: one urgent, one not. */
export enum MeasuredKind {
  Urgent = "urgent",
  Batch = "batch",
}

/** Teams in the runs. */
export const MEASURED_TEAMS: readonly string[] = [
  "team-1",
  "team-2",
  "team-3",
  "team-4",
];

const SIDECARS = 11;
const SLOTS = 8;
const OWNERS = 3;
const ENTRIES = 3;
/** Time before the load begins, in which the sidecars claim the shards. */
const STARTUP_MILLISECONDS: Milliseconds = 5_000;
const DRAIN_MILLISECONDS: Milliseconds = 40_000;
const DEADLINE_MILLISECONDS: Milliseconds = 30_000;

const CONFIGURATION: Configuration = {
  kindsOfWork: [
    { name: MeasuredKind.Urgent, weight: 2, floor: 0.3 },
    { name: MeasuredKind.Batch, weight: 1, floor: 0.2 },
  ].map((kind) => ({
    ...kind,
    service: "service",
    maximumAttempts: 5,
    defaultDeadlineMilliseconds: DEADLINE_MILLISECONDS,
    pricePerSecond: 10,
  })),
  teams: MEASURED_TEAMS.map((name) => ({
    name,
    weight: 1,
    maximumTasksInFlight: 100_000,
  })),
  limits: {
    maximumTasksPerJob: 220,
    retryBudget: 0.1,
    maximumQueuedTasks: 100_000,
  },
};

/** Settings of a scenario; those left out take the defaults of this module. */
export interface ScenarioOptions
  extends Partial<Omit<PolicyRunOptions, "arrivals" | "window" | "endsAt">> {
  readonly loadMilliseconds: Milliseconds;
  /** Time after the load in which submissions may still end. */
  readonly drainMilliseconds?: Milliseconds;
  readonly streams: readonly StreamDescription[];
}

/** A stream; properties left out take the defaults of the scenario. */
export type StreamDescription =
  & Pick<LoadStream, "name" | "load">
  & Partial<LoadStream>;

/** Creates a run at the current size of the fleet. */
export function createScenario(options: ScenarioOptions): PolicyRunOptions {
  const { streams, loadMilliseconds, drainMilliseconds, ...others } = options;
  const seed = options.seed ?? 1;
  const window = {
    from: STARTUP_MILLISECONDS,
    to: STARTUP_MILLISECONDS + loadMilliseconds,
  };
  const defaults: Omit<LoadStream, "name" | "load"> = {
    kindOfWork: MeasuredKind.Urgent,
    teams: MEASURED_TEAMS,
    jobShare: 0,
    startsAt: window.from,
    endsAt: window.to,
    burst: 1,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
  };
  return {
    sidecars: SIDECARS,
    slots: SLOTS,
    owners: OWNERS,
    entries: ENTRIES,
    delayMilliseconds: 0.5,
    configuration: CONFIGURATION,
    load: "load",
    ...others,
    seed,
    window,
    endsAt: window.to + (drainMilliseconds ?? DRAIN_MILLISECONDS),
    arrivals: generateLoad(
      streams.map((stream) => ({ ...defaults, ...stream })),
      { seed, slots: SIDECARS * SLOTS },
    ),
  };
}
