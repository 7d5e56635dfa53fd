/**
 * Processes under test: an owner of every shard, a runner and an entry, in fleets of any size.
 */
import { EntryDecisions } from "@eelgrassfront/entry";
import {
  ClaimReason,
  Idempotence,
  InputKind,
  type KindOfWork,
  LogRecordKind,
  NoFreeSlotPolicy,
  PeerRequestKind,
  type ProcessIdentifier,
  processIdentifier,
  type ProcessInput,
  Role,
  type Submission,
} from "@eelgrassfront/model";
import { ownerCandidates } from "@eelgrassfront/ownership";
import { SidecarDecisions } from "@eelgrassfront/sidecar";
import {
  BENCH_BACKEND_SERVER,
  BENCH_TIMING,
  benchJoin,
  type BenchOptions,
  benchSidecar,
  CapacityBench,
} from "./capacity_bench.ts";

const SHARDS = 64;
const TEAMS = 360;
const UNBOUNDED = 1_000_000_000;
const DEADLINE_MILLISECONDS = 30_000;
const ENTRY: ProcessIdentifier = processIdentifier("entry-0", "0123456789ab");

/** Fleet of a process under test. */
export interface BenchFleet extends BenchOptions {
  readonly sidecars: number;
  readonly shards?: number;
}

/** A sidecar that owns every shard. */
export function benchOwner(fleet: BenchFleet): CapacityBench {
  const names = Array.from(
    { length: fleet.sidecars },
    (_, index) => benchSidecar(index),
  );
  const self = ownerCandidates(names, 1)[0] ?? benchSidecar(0);
  const bench = new CapacityBench(
    new SidecarDecisions({
      self,
      availabilityZone: "zone-1",
      address: "10.0.0.1:7200",
      timing: BENCH_TIMING,
      random: () => 0,
      shardCount: fleet.shards ?? SHARDS,
      ownerCount: 1,
      maximumAnswerBytes: UNBOUNDED,
      maximumResultBytes: UNBOUNDED,
      maximumQueuedTasks: UNBOUNDED,
    }),
    fleet,
  );
  bench.read([configurationRecord(1, TEAMS), ...names.map(benchJoin)]);
  bench.feed({
    kind: InputKind.BackendServerDescribed,
    description: BENCH_BACKEND_SERVER,
  });
  bench.settle();
  return bench;
}

/** An entry. Every shard is owned by the first sidecar. */
export function benchEntry(fleet: BenchFleet): CapacityBench {
  const names = Array.from(
    { length: fleet.sidecars },
    (_, index) => benchSidecar(index),
  );
  const bench = new CapacityBench(
    new EntryDecisions({
      self: ENTRY,
      availabilityZone: "zone-1",
      address: "10.1.0.1:7200",
      timing: BENCH_TIMING,
      shardCount: SHARDS,
      maximumPending: UNBOUNDED,
    }),
    fleet,
  );
  bench.read([configurationRecord(1, TEAMS), ...names.map(benchJoin)]);
  bench.read([claimRecord(SHARDS)]);
  bench.read([{
    kind: LogRecordKind.MemberJoined,
    process: ENTRY,
    role: Role.Entry,
    availabilityZone: "zone-1",
    address: "10.1.0.1:7200",
  }]);
  bench.settle();
  return bench;
}

/** A submission as an entry sends it to the owner. */
export function submitInput(number: number, tasks = 1): ProcessInput {
  return {
    kind: InputKind.PeerRequestArrived,
    from: ENTRY,
    request: number,
    message: {
      kind: PeerRequestKind.SubmitJob,
      shard: number % SHARDS,
      callerRequest: `${ENTRY}:${number}`,
      submission: benchSubmission(number, tasks),
      remainingMilliseconds: DEADLINE_MILLISECONDS,
    },
  };
}

/** A placement as an owner sends it to a runner. */
export function startInput(number: number): ProcessInput {
  const submission = benchSubmission(number, 1);
  const [task] = submission.tasks;
  return {
    kind: InputKind.PeerRequestArrived,
    from: benchSidecar(1),
    request: number,
    message: {
      kind: PeerRequestKind.StartTask,
      shard: number % SHARDS,
      epoch: UNBOUNDED,
      submission: `${submission.team}/${submission.idempotencyKey}`,
      digest: submission.digest,
      taskIndex: 0,
      attempt: 1,
      team: submission.team,
      kindOfWork: submission.kindOfWork,
      idempotence: submission.idempotence,
      task: task ?? { payload: "", declaredMilliseconds: 0 },
      requirements: submission.requirements,
      remainingMilliseconds: DEADLINE_MILLISECONDS,
      slotClaim: NoFreeSlotPolicy.Wait,
      servedMilliseconds: 0,
    },
  };
}

/** A submission as a caller sends it to an entry. */
export function callerInput(number: number): ProcessInput {
  return {
    kind: InputKind.SubmissionArrived,
    request: `${ENTRY}:${number}`,
    submission: benchSubmission(number, 1),
  };
}

/** A heartbeat of a peer. */
export function heartbeatInput(number: number): ProcessInput {
  return {
    kind: InputKind.PeerRequestArrived,
    from: benchSidecar(1),
    request: number,
    message: {
      kind: PeerRequestKind.Heartbeat,
      logOffset: 1,
      configurationOffset: UNBOUNDED,
    },
  };
}

/** A whole configuration with this number of teams. */
export function configurationRecord(number: number, teams: number) {
  return {
    kind: LogRecordKind.ConfigurationPublished as const,
    publication: `publication-${number}`,
    replaces: number - 1,
    publishedBy: "pipeline",
    configuration: {
      kindsOfWork: ["check", "batch"].map(kindOfWork),
      teams: Array.from({ length: teams }, (_, index) => ({
        name: `team-${index}`,
        weight: 1,
        maximumTasksInFlight: UNBOUNDED,
      })),
      limits: {
        maximumTasksPerJob: 220,
        retryBudget: 0.1,
        maximumQueuedTasks: UNBOUNDED,
      },
    },
  };
}

function claimRecord(shards: number) {
  return {
    kind: LogRecordKind.ShardsClaimed as const,
    claimant: benchSidecar(0),
    reason: ClaimReason.Unowned,
    claims: Array.from({ length: shards }, (_, shard) => ({
      shard,
      replaces: 0,
    })),
  };
}

function kindOfWork(name: string): KindOfWork {
  return {
    name,
    service: BENCH_BACKEND_SERVER.service,
    weight: 1,
    floor: 0.1,
    maximumAttempts: 5,
    defaultDeadlineMilliseconds: DEADLINE_MILLISECONDS,
    pricePerSecond: 10,
  };
}

function benchSubmission(number: number, tasks: number): Submission {
  return {
    team: "team-1",
    idempotencyKey: `a-key-of-some-length-${number}`,
    digest: number.toString(16).padStart(64, "0"),
    kindOfWork: "check",
    idempotence: Idempotence.Idempotent,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    requirements: { processorCores: 0, memoryMegabytes: 0, accelerators: 0 },
    tasks: Array.from({ length: tasks }, () => ({
      payload: JSON.stringify({ ingredient: "an ingredient", number }),
      declaredMilliseconds: 50,
    })),
  };
}
