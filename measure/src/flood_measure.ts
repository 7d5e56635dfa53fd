/**
 * Service that other work gets during a flood: load of one kind of work at ten times the capacity of the
 * fleet. The less urgent kind floods first, then the urgent kind, each from one team and from all teams.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { runOmniscientScheduler } from "./policy_bound.ts";
import type { MeasureOptions } from "./policies_measure.ts";
import { runPolicy } from "./policy_run.ts";
import {
  BASELINE_POLICIES,
  createScenario,
  MEASURED_TEAMS,
  MeasuredKind,
  type ScenarioOptions,
  type StreamDescription,
  SYSTEM_POLICY,
} from "./policy_scenarios.ts";
import type { RunSummary } from "./policy_statistics.ts";
import { type PolicyFigures, printRuns } from "./policy_table.ts";

const LOAD_MILLISECONDS: Milliseconds = 60_000;
const FLOOD_AT_MILLISECONDS: Milliseconds = 5_000;
const FLOOD_LOAD = 10;
/** Load of the kind of work that doesn't flood; it stays within its share. */
const OTHER_LOAD = 0.2;
const FLOOD_JOB_SHARE = 0.05;

/** Teams that a flood comes from. */
enum FloodSource {
  OneTeam = "one team",
  ManyTeams = "many teams",
}

/** Measures each kind of work alone, then floods of each kind. */
export function measureFlood(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  const runs = [
    runUnloaded(MeasuredKind.Urgent, options),
    runUnloaded(MeasuredKind.Batch, options),
    ...[MeasuredKind.Batch, MeasuredKind.Urgent].flatMap((kind) =>
      [FloodSource.OneTeam, FloodSource.ManyTeams].flatMap((source) =>
        runFlood(kind, source, options)
      )
    ),
  ];
  return Promise.resolve(printRuns(runs));
}

function runUnloaded(kind: MeasuredKind, options: MeasureOptions): RunSummary {
  const run = createScenario({
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${kind} alone`,
    streams: [describeOtherStream(kind)],
  });
  return runPolicy(run, SYSTEM_POLICY);
}

function runFlood(
  flooding: MeasuredKind,
  source: FloodSource,
  options: MeasureOptions,
): readonly RunSummary[] {
  const run = createScenario(describeFlood(flooding, source, options));
  const leastLoaded = BASELINE_POLICIES.slice(-2);
  return [
    runOmniscientScheduler(run),
    runPolicy(run, SYSTEM_POLICY),
    ...leastLoaded.map((policy) => runPolicy(run, policy)),
  ];
}

function describeFlood(
  flooding: MeasuredKind,
  source: FloodSource,
  options: MeasureOptions,
): ScenarioOptions {
  const otherWork = otherKind(flooding);
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${flooding} floods, ${source}`,
    streams: [
      describeOtherStream(otherWork),
      {
        name: "flood",
        kindOfWork: flooding,
        teams: floodingTeams(source),
        load: FLOOD_LOAD,
        jobShare: FLOOD_JOB_SHARE,
        startsAt: FLOOD_AT_MILLISECONDS,
      },
    ],
  };
}

function describeOtherStream(kind: MeasuredKind): StreamDescription {
  return { name: `kept ${kind}`, kindOfWork: kind, load: OTHER_LOAD };
}

function otherKind(kind: MeasuredKind): MeasuredKind {
  switch (kind) {
    case MeasuredKind.Urgent:
      return MeasuredKind.Batch;
    case MeasuredKind.Batch:
      return MeasuredKind.Urgent;
  }
}

function floodingTeams(source: FloodSource): readonly string[] {
  switch (source) {
    case FloodSource.OneTeam:
      return MEASURED_TEAMS.slice(0, 1);
    case FloodSource.ManyTeams:
      return MEASURED_TEAMS;
  }
}
