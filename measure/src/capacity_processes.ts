/**
 * Creates the processes under test (a sidecar, which is both owner and runner, and an entry) in fleets of any
 * size, and the inputs for them.
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
  type BenchOptions,
  benchSidecar,
  CapacityBench,
  createMemberJoined,
} from "./capacity_bench.ts";

const SHARDS = 64;
const TEAMS = 360;
const UNBOUNDED = 1_000_000_000;
const DEADLINE_MILLISECONDS = 30_000;
const ENTRY: ProcessIdentifier = processIdentifier("entry-0", "0123456789ab");

/** Size and behaviour of the fleet of a process under test. */
export interface BenchFleet extends BenchOptions {
  readonly sidecars: number;
  readonly shards?: number;
}

/** Creates a sidecar that owns every shard. */
export function createOwnerBench(fleet: BenchFleet): CapacityBench {
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
  bench.deliverRecords([
    createConfigurationRecord(1, TEAMS),
    ...names.map(createMemberJoined),
  ]);
  bench.deliver({
    kind: InputKind.BackendServerDescribed,
    description: BENCH_BACKEND_SERVER,
  });
  bench.advanceInSteps();
  return bench;
}

/** Creates an entry in a fleet whose first sidecar owns every shard. */
export function createEntryBench(fleet: BenchFleet): CapacityBench {
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
  bench.deliverRecords([
    createConfigurationRecord(1, TEAMS),
    ...names.map(createMemberJoined),
  ]);
  bench.deliverRecords([createClaimRecord(SHARDS)]);
  bench.deliverRecords([{
    kind: LogRecordKind.MemberJoined,
    process: ENTRY,
    role: Role.Entry,
    availabilityZone: "zone-1",
    address: "10.1.0.1:7200",
  }]);
  bench.advanceInSteps();
  return bench;
}

/** Creates the request by which an entry relays a submission to the owner. */
export function createSubmitInput(number: number, tasks = 1): ProcessInput {
  return {
    kind: InputKind.PeerRequestArrived,
    from: ENTRY,
    request: number,
    message: {
      kind: PeerRequestKind.SubmitJob,
      shard: number % SHARDS,
      callerRequest: `${ENTRY}:${number}`,
      submission: createBenchSubmission(number, tasks),
      remainingMilliseconds: DEADLINE_MILLISECONDS,
    },
  };
}

/** Creates the request by which an owner starts a task on a runner. */
export function createStartInput(number: number): ProcessInput {
  const submission = createBenchSubmission(number, 1);
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

/** Creates the input for a submission that a caller sends to an entry. */
export function createCallerInput(number: number): ProcessInput {
  return {
    kind: InputKind.SubmissionArrived,
    request: `${ENTRY}:${number}`,
    submission: createBenchSubmission(number, 1),
  };
}

/** Creates a heartbeat of a peer. */
export function createHeartbeatInput(number: number): ProcessInput {
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

/** Creates the log record of configuration `number` with this number of teams. */
export function createConfigurationRecord(number: number, teams: number) {
  return {
    kind: LogRecordKind.ConfigurationPublished as const,
    publication: `publication-${number}`,
    replaces: number - 1,
    publishedBy: "pipeline",
    configuration: {
      kindsOfWork: ["check", "batch"].map(createKindOfWork),
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

function createClaimRecord(shards: number) {
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

function createKindOfWork(name: string): KindOfWork {
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

function createBenchSubmission(number: number, tasks: number): Submission {
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
