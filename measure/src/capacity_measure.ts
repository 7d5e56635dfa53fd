/**
 * Measures how memory and processor time of the real decision code grow: a slope fitted to several sizes
 * for each quantity, and the bytes of each kind of message.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  LogRecordKind,
  type PeerReply,
  type PeerRequest,
  PeerRequestKind,
  RemovalReason,
} from "@eelgrassfront/model";
import {
  benchSidecar,
  type CapacityBench,
  createMemberJoined,
} from "./capacity_bench.ts";
import {
  createCallerInput,
  createConfigurationRecord,
  createEntryBench,
  createHeartbeatInput,
  createOwnerBench,
  createStartInput,
  createSubmitInput,
} from "./capacity_processes.ts";

/** One slope, with the sizes and values that it is fitted to. */
interface Slope {
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly perUnit: number;
}

const FLEETS = [11, 100, 1_000, 2_400, 7_300];
const REPETITIONS = 2_000;
const HEARTBEAT_MILLISECONDS = 250;
const HEARTBEAT_PERIODS = 12;
const SMALL_FLEET = 11;
/** Longer than the deadline of the submitted jobs. */
const PAST_DEADLINE_MILLISECONDS = 35_000;
const COLLECTIONS = 4;
/** Header of a WebSocket frame from a client, with a two-byte length and the mask. */
const FRAME_HEADER_BYTES = 8;

/** Runs the measure and returns its figures. */
export function measureCapacity(): Promise<object> {
  return Promise.resolve({
    measure: "capacity",
    decisionMicrosecondsByFleet: Object.fromEntries(
      FLEETS.map((fleet) => [fleet, measureFleet(fleet)]),
    ),
    slopes: measureSlopes(),
    wireBytesByKind: measureWireBytes(),
  });
}

/** Measures the time in the state machine for each kind of input in a fleet of this size, in microseconds. */
function measureFleet(sidecars: number): Readonly<Record<string, number>> {
  const owner = createOwnerBench({ sidecars });
  const entry = createEntryBench({ sidecars });
  const period = () => owner.advance(HEARTBEAT_MILLISECONDS);
  const figures = {
    ownerJobOfOne: measureMean(
      owner,
      (number) => owner.deliver(createSubmitInput(number)),
    ),
    runnerTask: measureMean(
      owner,
      (number) => owner.deliver(createStartInput(number)),
    ),
    entryRequest: measureMean(
      entry,
      (number) => entry.deliver(createCallerInput(number)),
    ),
    heartbeatAnswered: measureMean(
      owner,
      (number) => owner.deliver(createHeartbeatInput(number)),
    ),
    heartbeatPeriod: measureMean(owner, period, HEARTBEAT_PERIODS),
    membershipChange: measureMembershipChange(owner, sidecars),
  };
  process.stdout.write(`fleet ${sidecars}: ${JSON.stringify(figures)}\n`);
  return figures;
}

function measureMembershipChange(
  bench: CapacityBench,
  sidecars: number,
): number {
  return measureMean(bench, (number) => {
    const process = benchSidecar(sidecars + number);
    bench.deliverRecords([createMemberJoined(process)]);
    bench.deliverRecords([{
      kind: LogRecordKind.MemberRemoved,
      process,
      reason: RemovalReason.Left,
      reportedBy: benchSidecar(0),
    }]);
  }, 100) / 2;
}

/**
 * Measures the mean time that an action spends in the decisions, in microseconds. A tenth as many
 * repetitions run first as a warm-up.
 */
function measureMean(
  bench: CapacityBench,
  action: (number: number) => void,
  repetitions = REPETITIONS,
): number {
  const warmUp = Math.ceil(repetitions / 10);
  const run = (from: number, to: number) => {
    for (let number = from; number < to; number += 1) action(number);
  };
  run(1, warmUp);
  const time = bench.measure(() => run(warmUp, warmUp + repetitions));
  return round(time / repetitions);
}

function measureSlopes(): Readonly<Record<string, Slope>> {
  return {
    peerBytes: memorySlope(
      "bytes per known sidecar",
      [100, 1_000, 2_400],
      (size) => createOwnerBench({ sidecars: size }),
    ),
    departedMemberBytes: memorySlope(
      "bytes per member that departed within the horizon",
      [2_000, 8_000, 16_000],
      ownerWithDepartedMembers,
    ),
    shardBytes: memorySlope(
      "bytes per owned shard",
      [64, 1_024, 4_096],
      (shards) => createOwnerBench({ sidecars: SMALL_FLEET, shards }),
    ),
    startRecordBytes: memorySlope(
      "bytes per start record with a result of 44 bytes",
      [2_000, 8_000, 16_000],
      (size) =>
        deliverInputs(
          createOwnerBench({ sidecars: SMALL_FLEET }),
          size,
          createStartInput,
        ),
    ),
    keptAnswerBytes: memorySlope(
      "bytes per retained answer of one task, after the deadline of its job",
      [2_000, 8_000, 16_000],
      ownerWithRetainedAnswers,
    ),
    answeredJobBytes: memorySlope(
      "bytes per answered job of one task, until its deadline",
      [2_000, 8_000, 16_000],
      (size) =>
        deliverInputs(
          createOwnerBench({ sidecars: SMALL_FLEET }),
          size,
          createSubmitInput,
        ),
    ),
    placedTaskBytes: memorySlope(
      "bytes per job of one task that waits or runs",
      [1_000, 2_000, 4_000],
      (size) =>
        deliverInputs(ownerWithUnansweredStarts(), size, createSubmitInput),
    ),
    pendingRequestBytes: memorySlope(
      "bytes per caller's request at an entry, without its connection",
      [2_000, 4_000, 8_000],
      (size) =>
        deliverInputs(
          entryWithUnansweredSubmissions(),
          size,
          createCallerInput,
        ),
    ),
    configurationBytes: memorySlope(
      "bytes per team in the configuration",
      [360, 3_600, 36_000],
      (teams) => ownerWithTeams(teams),
    ),
    configurationHistoryBytes: memorySlope(
      "bytes per replaced configuration of 360 teams",
      [100, 400, 800],
      ownerWithConfigurationChanges,
    ),
    configurationChangeMicroseconds: timeSlope(
      "microseconds per team in a configuration change",
      [360, 3_600, 36_000],
      measureConfigurationChange,
    ),
    shardClaimMicroseconds: timeSlope(
      "microseconds per shard, from the claim to the grant",
      [64, 1_024, 4_096],
      (shards) =>
        createOwnerBench({ sidecars: SMALL_FLEET, shards }).busyMicroseconds,
    ),
    jobOfManyMicroseconds: timeSlope(
      "microseconds per task of a job at its owner",
      [1, 40, 220],
      measureMultiTaskJob,
    ),
  };
}

function deliverInputs(
  bench: CapacityBench,
  size: number,
  create: typeof createCallerInput,
): CapacityBench {
  for (let index = 1; index <= size; index += 1) bench.deliver(create(index));
  return bench;
}

function ownerWithRetainedAnswers(size: number): CapacityBench {
  const bench = createOwnerBench({ sidecars: SMALL_FLEET });
  deliverInputs(bench, size, createSubmitInput).advanceInSteps(
    PAST_DEADLINE_MILLISECONDS,
  );
  return bench;
}

function ownerWithUnansweredStarts(): CapacityBench {
  const unansweredKinds = [PeerRequestKind.StartTask];
  return createOwnerBench({ sidecars: SMALL_FLEET, unansweredKinds });
}

function entryWithUnansweredSubmissions(): CapacityBench {
  const unansweredKinds = [PeerRequestKind.SubmitJob];
  return createEntryBench({ sidecars: SMALL_FLEET, unansweredKinds });
}

function ownerWithDepartedMembers(size: number): CapacityBench {
  const bench = createOwnerBench({ sidecars: SMALL_FLEET });
  for (let number = 0; number < size; number += 1) {
    const process = benchSidecar(SMALL_FLEET + number);
    bench.deliverRecords([createMemberJoined(process), {
      kind: LogRecordKind.MemberRemoved,
      process,
      reason: RemovalReason.Left,
      reportedBy: benchSidecar(0),
    }]);
  }
  return bench;
}

function ownerWithTeams(teams: number): CapacityBench {
  const bench = createOwnerBench({ sidecars: SMALL_FLEET });
  bench.deliverRecords([deepCopy(createConfigurationRecord(2, teams))]);
  return bench;
}

function ownerWithConfigurationChanges(changes: number): CapacityBench {
  const bench = createOwnerBench({ sidecars: SMALL_FLEET });
  let replaces = 1;
  for (let number = 0; number < changes; number += 1) {
    const record = deepCopy(createConfigurationRecord(number, 360));
    bench.deliverRecords([{ ...record, replaces }]);
    replaces = bench.lastOffset;
  }
  return bench;
}

function measureConfigurationChange(teams: number): number {
  const bench = createOwnerBench({ sidecars: SMALL_FLEET });
  const record = deepCopy(createConfigurationRecord(2, teams));
  return bench.measure(() => bench.deliverRecords([record]));
}

function measureMultiTaskJob(tasks: number): number {
  const bench = createOwnerBench({ sidecars: SMALL_FLEET });
  return measureMean(
    bench,
    (number) => bench.deliver(createSubmitInput(number, tasks)),
    100,
  );
}

/** Copies a value as the codec does, so that the copy shares no strings with other copies. */
function deepCopy<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}

function memorySlope(
  unit: string,
  sizes: readonly number[],
  build: (size: number) => CapacityBench,
): Slope {
  measureHeap(() => build(sizes[0] ?? 1));
  return fitSlope(
    unit,
    sizes,
    sizes.map((size) => measureHeap(() => build(size))),
  );
}

function timeSlope(
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope {
  for (const size of sizes) measure(size);
  return fitSlope(unit, sizes, sizes.map(measure));
}

/** Measures the heap that a bench occupies after garbage collection, in bytes. */
function measureHeap(build: () => CapacityBench): number {
  const before = heapAfterCollection();
  const bench = build();
  const after = heapAfterCollection();
  bench.busyMicroseconds = 0;
  return after - before;
}

function heapAfterCollection(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  for (let count = 0; count < COLLECTIONS; count += 1) collect();
  return process.memoryUsage().heapUsed;
}

/** Fits a line to the points by least squares. */
function fitSlope(
  unit: string,
  sizes: readonly number[],
  values: readonly number[],
): Slope {
  const meanSize = mean(sizes);
  const meanValue = mean(values);
  const pairs = sizes.map((size, index) => ({
    size: size - meanSize,
    value: (values[index] ?? 0) - meanValue,
  }));
  const products = pairs.reduce(
    (sum, { size, value }) => sum + size * value,
    0,
  );
  const squares = pairs.reduce((sum, { size }) => sum + size * size, 0);
  const slope = {
    unit,
    sizes,
    values: values.map(round),
    perUnit: round(products / squares),
  };
  process.stdout.write(`${JSON.stringify(slope)}\n`);
  return slope;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Measures the bytes of one message of each kind, sent alone in its frame. */
function measureWireBytes(): Readonly<Record<string, number>> {
  const owner = createOwnerBench({ sidecars: SMALL_FLEET });
  const entry = createEntryBench({ sidecars: SMALL_FLEET });
  owner.deliver(createSubmitInput(1));
  owner.deliver(createStartInput(2));
  owner.deliver(createHeartbeatInput(3));
  entry.deliver(createCallerInput(1));
  const samples = new Map([...owner.samples, ...entry.samples]);
  return Object.fromEntries(
    [...samples].map(([kind, message]) => [kind, wireBytes(message)]),
  );
}

function wireBytes(message: PeerRequest | PeerReply): number {
  const isRequest = Object.values<string>(PeerRequestKind)
    .includes(message.kind);
  const input = {
    from: benchSidecar(1_000),
    to: benchSidecar(2_000),
    request: 1_000_000,
    message,
  };
  const frame = isRequest
    ? {
      id: 1_000_000,
      method: "mutation",
      params: { path: "deliver", input },
    }
    : { id: 1_000_000, result: { type: "data", data: message } };
  return FRAME_HEADER_BYTES + Buffer.byteLength(JSON.stringify(frame));
}
