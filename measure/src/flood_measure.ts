/**
 * What other work keeps while ten times the fleet's capacity of one kind of work floods in: first the
 * less urgent kind, then the most urgent, from one team and from all teams.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { runBound } from "./policy_bound.ts";
import type { MeasureOptions } from "./policies_measure.ts";
import { runPolicy } from "./policy_run.ts";
import {
  BASELINE_POLICIES,
  MEASURED_TEAMS,
  MeasuredKind,
  scenario,
  type ScenarioOptions,
  type StreamDescription,
  SYSTEM_POLICY,
} from "./policy_scenarios.ts";
import type { RunSummary } from "./policy_statistics.ts";
import { type PolicyFigures, printRuns } from "./policy_table.ts";

const LOAD_MILLISECONDS: Milliseconds = 60_000;
const FLOOD_BEGINS_MILLISECONDS: Milliseconds = 5_000;
const FLOOD_LOAD = 10;
/** Load of the other kind of work, which stays within its share. */
const KEPT_LOAD = 0.2;
const FLOOD_JOB_SHARE = 0.05;

/** Shapes of a flood. */
enum FloodShape {
  OneTeam = "one team",
  ManyTeams = "many teams",
}

/** Measures floods of each kind. */
export function measureFlood(
  options: MeasureOptions = {},
): Promise<PolicyFigures> {
  const runs = [
    runUnloaded(MeasuredKind.Urgent, options),
    runUnloaded(MeasuredKind.Batch, options),
    ...[MeasuredKind.Batch, MeasuredKind.Urgent].flatMap((kind) =>
      [FloodShape.OneTeam, FloodShape.ManyTeams].flatMap((shape) =>
        runFlood(kind, shape, options)
      )
    ),
  ];
  return Promise.resolve(printRuns(runs));
}

function runUnloaded(kind: MeasuredKind, options: MeasureOptions): RunSummary {
  const run = scenario({
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${kind} alone`,
    streams: [keptStream(kind)],
  });
  return runPolicy(run, SYSTEM_POLICY);
}

function runFlood(
  flooding: MeasuredKind,
  shape: FloodShape,
  options: MeasureOptions,
): readonly RunSummary[] {
  const run = scenario(describeFlood(flooding, shape, options));
  const leastLoaded = BASELINE_POLICIES.slice(-2);
  return [
    runBound(run),
    runPolicy(run, SYSTEM_POLICY),
    ...leastLoaded.map((policy) => runPolicy(run, policy)),
  ];
}

function describeFlood(
  flooding: MeasuredKind,
  shape: FloodShape,
  options: MeasureOptions,
): ScenarioOptions {
  const kept = otherKind(flooding);
  return {
    loadMilliseconds: LOAD_MILLISECONDS,
    ...options,
    load: `${flooding} floods, ${shape}`,
    streams: [
      keptStream(kept),
      {
        name: "flood",
        kindOfWork: flooding,
        teams: teamsOf(shape),
        load: FLOOD_LOAD,
        jobShare: FLOOD_JOB_SHARE,
        startsAt: FLOOD_BEGINS_MILLISECONDS,
      },
    ],
  };
}

function keptStream(kind: MeasuredKind): StreamDescription {
  return { name: `kept ${kind}`, kindOfWork: kind, load: KEPT_LOAD };
}

function otherKind(kind: MeasuredKind): MeasuredKind {
  switch (kind) {
    case MeasuredKind.Urgent:
      return MeasuredKind.Batch;
    case MeasuredKind.Batch:
      return MeasuredKind.Urgent;
  }
}

function teamsOf(shape: FloodShape): readonly string[] {
  switch (shape) {
    case FloodShape.OneTeam:
      return MEASURED_TEAMS.slice(0, 1);
    case FloodShape.ManyTeams:
      return MEASURED_TEAMS;
  }
}
