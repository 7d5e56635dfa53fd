/**
 * The fault schedule of a randomised run: kind, time and duration of each fault. A schedule is plain data,
 * drawn from a seed or built by a test, so that a failure can be replayed and shrunk.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import type { SeededRandom } from "./seeded_random.ts";

/** Kinds of faults. */
export enum FaultKind {
  NetworkDegraded = "network-trouble",
  SidecarKilled = "sidecar-killed",
  EntryKilled = "entry-killed",
  SidecarPaused = "sidecar-paused",
  SidecarSendsDelayed = "sidecar-stalled",
  SidecarDrained = "sidecar-drained",
  ZonePartitioned = "zone-cut",
  LinkCutOneWay = "one-way-cut",
  LogUnavailable = "log-away",
  LogSlow = "log-slow",
  AppendAnswersLost = "append-answers-lost",
  TaskAnswersLost = "task-answers-lost",
  BackendServerFailing = "backend-server-failing",
  ConfigurationRace = "configuration-race",
}

/** Start and duration of a fault. */
export interface FaultSpan {
  readonly at: Milliseconds;
  readonly durationMilliseconds: Milliseconds;
}

/** Messages are lost, duplicated and reordered. */
export interface NetworkDegradation extends FaultSpan {
  readonly kind: FaultKind.NetworkDegraded;
  readonly lossProbability: number;
  readonly duplicationProbability: number;
  readonly jitterMilliseconds: Milliseconds;
}

/**
 * A fault of one process. A killed process starts again when the fault ends, a drained one when it has also
 * ended by itself.
 */
export interface ProcessFault extends FaultSpan {
  readonly kind:
    | FaultKind.SidecarKilled
    | FaultKind.EntryKilled
    | FaultKind.SidecarPaused
    | FaultKind.SidecarSendsDelayed
    | FaultKind.SidecarDrained
    | FaultKind.TaskAnswersLost
    | FaultKind.BackendServerFailing;
  readonly index: number;
}

/** Network partition between one availability zone and all others. */
export interface ZonePartition extends FaultSpan {
  readonly kind: FaultKind.ZonePartitioned;
  readonly zoneIndex: number;
  /** Whether the zone cannot reach the log either. */
  readonly isLogCut: boolean;
}

/** Messages from one sidecar to another are lost; the reverse direction works. */
export interface OneWayLinkCut extends FaultSpan {
  readonly kind: FaultKind.LinkCutOneWay;
  readonly from: number;
  readonly to: number;
}

/** The log is unavailable, slow or loses answers, for every process. */
export interface LogFault extends FaultSpan {
  readonly kind:
    | FaultKind.LogUnavailable
    | FaultKind.LogSlow
    | FaultKind.AppendAnswersLost;
}

/** Several operators replace the same configuration version at the same time. */
export interface ConfigurationRace extends FaultSpan {
  readonly kind: FaultKind.ConfigurationRace;
  readonly operators: number;
}

/** Any fault. */
export type Fault =
  | NetworkDegradation
  | ProcessFault
  | ZonePartition
  | OneWayLinkCut
  | LogFault
  | ConfigurationRace;

/** The period of a run in which faults begin, and the size of the system. */
export interface FaultBounds {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  readonly sidecars: number;
  readonly entries: number;
  readonly zones: number;
  /** The kinds to draw from; all when absent. */
  readonly kinds?: readonly FaultKind[];
}

const MAXIMUM_FAULTS = 5;
const CLUSTER_PROBABILITY = 0.5;
const CLUSTER_MILLISECONDS: Milliseconds = 200;
const MINIMUM_DURATION_MILLISECONDS: Milliseconds = 50;
const MAXIMUM_DURATION_MILLISECONDS: Milliseconds = 3_000;
const MAXIMUM_JITTER_MILLISECONDS: Milliseconds = 400;
const LOG_UNREACHABLE_PROBABILITY = 0.5;
const KINDS = Object.values(FaultKind);

/** Draws a schedule in which about half of the faults begin shortly after the previous one. */
export function drawFaults(
  random: SeededRandom,
  bounds: FaultBounds,
): readonly Fault[] {
  const count = 1 + random.below(MAXIMUM_FAULTS);
  const faults: Fault[] = [];
  let at = random.between(bounds.from, bounds.until);
  for (let index = 0; index < count; index += 1) {
    faults.push(drawFault(random, bounds, at));
    at = random.happens(CLUSTER_PROBABILITY)
      ? Math.min(bounds.until, at + random.between(0, CLUSTER_MILLISECONDS))
      : random.between(bounds.from, bounds.until);
  }
  return faults;
}

function drawFault(
  random: SeededRandom,
  bounds: FaultBounds,
  at: Milliseconds,
): Fault {
  const longest = Math.min(MAXIMUM_DURATION_MILLISECONDS, bounds.until - at);
  const durationMilliseconds = Math.max(
    MINIMUM_DURATION_MILLISECONDS,
    random.between(0, longest),
  );
  const span = { at, durationMilliseconds };
  const kind = random.pick(bounds.kinds ?? KINDS) ?? FaultKind.NetworkDegraded;
  switch (kind) {
    case FaultKind.NetworkDegraded:
      return {
        ...span,
        kind,
        lossProbability: random.between(0, 0.3),
        duplicationProbability: random.between(0, 0.3),
        jitterMilliseconds: random.between(0, MAXIMUM_JITTER_MILLISECONDS),
      };
    case FaultKind.EntryKilled:
      return { ...span, kind, index: random.below(bounds.entries) };
    case FaultKind.SidecarKilled:
    case FaultKind.SidecarPaused:
    case FaultKind.SidecarSendsDelayed:
    case FaultKind.SidecarDrained:
    case FaultKind.TaskAnswersLost:
    case FaultKind.BackendServerFailing:
      return { ...span, kind, index: random.below(bounds.sidecars) };
    case FaultKind.ZonePartitioned:
      return {
        ...span,
        kind,
        zoneIndex: random.below(bounds.zones),
        isLogCut: random.happens(LOG_UNREACHABLE_PROBABILITY),
      };
    case FaultKind.LinkCutOneWay:
      return {
        ...span,
        kind,
        from: random.below(bounds.sidecars),
        to: random.below(bounds.sidecars),
      };
    case FaultKind.LogUnavailable:
    case FaultKind.LogSlow:
    case FaultKind.AppendAnswersLost:
      return { ...span, kind };
    case FaultKind.ConfigurationRace:
      return { ...span, kind, operators: 2 + random.below(2) };
  }
}
