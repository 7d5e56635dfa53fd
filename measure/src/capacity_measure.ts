/**
 * Slopes of memory and processor time, from the real decisions at several sizes each, and the bytes of
 * each kind of message.
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
  benchJoin,
  benchSidecar,
  type CapacityBench,
} from "./capacity_bench.ts";
import {
  benchEntry,
  benchOwner,
  callerInput,
  configurationRecord,
  heartbeatInput,
  startInput,
  submitInput,
} from "./capacity_processes.ts";

/** One slope with the sizes and values that it was fitted to. */
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
/** Longer than the deadline of the bench's jobs. */
const AFTER_DEADLINE_MILLISECONDS = 35_000;
const COLLECTIONS = 4;
/** Header of a WebSocket frame from a client, with a length of two bytes and its mask. */
const FRAME_HEADER_BYTES = 8;

/** Runs the measure and returns its figures. */
export function measureCapacity(): Promise<object> {
  return Promise.resolve({
    measure: "capacity",
    decisionMicrosecondsByFleet: Object.fromEntries(
      FLEETS.map((fleet) => [fleet, measureFleet(fleet)]),
    ),
    slopes: measureSlopes(),
    wireBytesByKind: measureWire(),
  });
}

/** Time in the decisions for each thing that happens, in microseconds, in a fleet of this size. */
function measureFleet(sidecars: number): Readonly<Record<string, number>> {
  const owner = benchOwner({ sidecars });
  const entry = benchEntry({ sidecars });
  const period = () => owner.pass(HEARTBEAT_MILLISECONDS);
  const figures = {
    ownerJobOfOne: repeat(owner, (number) => owner.feed(submitInput(number))),
    runnerTask: repeat(owner, (number) => owner.feed(startInput(number))),
    entryRequest: repeat(entry, (number) => entry.feed(callerInput(number))),
    heartbeatAnswered: repeat(
      owner,
      (number) => owner.feed(heartbeatInput(number)),
    ),
    heartbeatPeriod: repeat(owner, period, HEARTBEAT_PERIODS),
    membershipChange: measureMembershipChange(owner, sidecars),
  };
  process.stdout.write(`fleet ${sidecars}: ${JSON.stringify(figures)}\n`);
  return figures;
}

function measureMembershipChange(
  bench: CapacityBench,
  sidecars: number,
): number {
  return repeat(bench, (number) => {
    const process = benchSidecar(sidecars + number);
    bench.read([benchJoin(process)]);
    bench.read([{
      kind: LogRecordKind.MemberRemoved,
      process,
      reason: RemovalReason.Left,
      reportedBy: benchSidecar(0),
    }]);
  }, 100) / 2;
}

/** Mean time in the decisions of an action, after a tenth of it to warm up. */
function repeat(
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
      "byte a sidecar known",
      [100, 1_000, 2_400],
      (size) => benchOwner({ sidecars: size }),
    ),
    departedMemberBytes: memorySlope(
      "byte a member departed within the horizon",
      [2_000, 8_000, 16_000],
      departedMembers,
    ),
    shardBytes: memorySlope(
      "byte a shard owned",
      [64, 1_024, 4_096],
      (shards) => benchOwner({ sidecars: SMALL_FLEET, shards }),
    ),
    startRecordBytes: memorySlope(
      "byte a start record with a result of 44 bytes",
      [2_000, 8_000, 16_000],
      (size) => fill(benchOwner({ sidecars: SMALL_FLEET }), size, startInput),
    ),
    keptAnswerBytes: memorySlope(
      "byte a kept answer of one task, after the deadline of its job",
      [2_000, 8_000, 16_000],
      keptAnswers,
    ),
    answeredJobBytes: memorySlope(
      "byte an answered job of one task, until its deadline",
      [2_000, 8_000, 16_000],
      (size) => fill(benchOwner({ sidecars: SMALL_FLEET }), size, submitInput),
    ),
    placedTaskBytes: memorySlope(
      "byte a job of one task that waits or runs",
      [1_000, 2_000, 4_000],
      (size) => fill(silentOwner(), size, submitInput),
    ),
    pendingRequestBytes: memorySlope(
      "byte a caller's request at an entry, without its connection",
      [2_000, 4_000, 8_000],
      (size) => fill(silentEntry(), size, callerInput),
    ),
    configurationBytes: memorySlope(
      "byte a team in the configuration",
      [360, 3_600, 36_000],
      (teams) => configured(teams),
    ),
    configurationHistoryBytes: memorySlope(
      "byte a configuration change of 360 teams that was replaced",
      [100, 400, 800],
      changedConfigurations,
    ),
    configurationChangeMicroseconds: timeSlope(
      "microsecond a team in a configuration change",
      [360, 3_600, 36_000],
      measureConfigurationChange,
    ),
    shardClaimMicroseconds: timeSlope(
      "microsecond a shard, from the claim to the grant",
      [64, 1_024, 4_096],
      (shards) =>
        benchOwner({ sidecars: SMALL_FLEET, shards }).busyMicroseconds,
    ),
    jobOfManyMicroseconds: timeSlope(
      "microsecond a task of a job at its owner",
      [1, 40, 220],
      measureJobOfMany,
    ),
  };
}

function fill(
  bench: CapacityBench,
  size: number,
  inputOf: typeof callerInput,
): CapacityBench {
  for (let number = 1; number <= size; number += 1) bench.feed(inputOf(number));
  return bench;
}

function keptAnswers(size: number): CapacityBench {
  const bench = benchOwner({ sidecars: SMALL_FLEET });
  fill(bench, size, submitInput).settle(AFTER_DEADLINE_MILLISECONDS);
  return bench;
}

function silentOwner(): CapacityBench {
  const silentTo = [PeerRequestKind.StartTask];
  return benchOwner({ sidecars: SMALL_FLEET, silentTo });
}

function silentEntry(): CapacityBench {
  const silentTo = [PeerRequestKind.SubmitJob];
  return benchEntry({ sidecars: SMALL_FLEET, silentTo });
}

function departedMembers(size: number): CapacityBench {
  const bench = benchOwner({ sidecars: SMALL_FLEET });
  for (let number = 0; number < size; number += 1) {
    const process = benchSidecar(SMALL_FLEET + number);
    bench.read([benchJoin(process), {
      kind: LogRecordKind.MemberRemoved,
      process,
      reason: RemovalReason.Left,
      reportedBy: benchSidecar(0),
    }]);
  }
  return bench;
}

function configured(teams: number): CapacityBench {
  const bench = benchOwner({ sidecars: SMALL_FLEET });
  bench.read([copyOf(configurationRecord(2, teams))]);
  return bench;
}

function changedConfigurations(changes: number): CapacityBench {
  const bench = benchOwner({ sidecars: SMALL_FLEET });
  let replaces = 1;
  for (let number = 0; number < changes; number += 1) {
    const record = copyOf(configurationRecord(number, 360));
    bench.read([{ ...record, replaces }]);
    replaces = bench.lastOffset;
  }
  return bench;
}

function measureConfigurationChange(teams: number): number {
  const bench = benchOwner({ sidecars: SMALL_FLEET });
  const record = copyOf(configurationRecord(2, teams));
  return bench.measure(() => bench.read([record]));
}

function measureJobOfMany(tasks: number): number {
  const bench = benchOwner({ sidecars: SMALL_FLEET });
  return repeat(bench, (number) => bench.feed(submitInput(number, tasks)), 100);
}

/** A copy as the codec makes it, which shares no text with other copies. */
function copyOf<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}

function memorySlope(
  unit: string,
  sizes: readonly number[],
  build: (size: number) => CapacityBench,
): Slope {
  heapOf(() => build(sizes[0] ?? 1));
  return fitSlope(unit, sizes, sizes.map((size) => heapOf(() => build(size))));
}

function timeSlope(
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope {
  for (const size of sizes) measure(size);
  return fitSlope(unit, sizes, sizes.map(measure));
}

/** Heap that a bench holds when garbage has been collected, in bytes. */
function heapOf(build: () => CapacityBench): number {
  const before = collectedHeap();
  const bench = build();
  const after = collectedHeap();
  bench.busyMicroseconds = 0;
  return after - before;
}

function collectedHeap(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  for (let count = 0; count < COLLECTIONS; count += 1) collect();
  return process.memoryUsage().heapUsed;
}

/** Least squares through the points. */
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

/** Bytes of one message of each kind, with the frame that carries it alone. */
function measureWire(): Readonly<Record<string, number>> {
  const owner = benchOwner({ sidecars: SMALL_FLEET });
  const entry = benchEntry({ sidecars: SMALL_FLEET });
  owner.feed(submitInput(1));
  owner.feed(startInput(2));
  owner.feed(heartbeatInput(3));
  entry.feed(callerInput(1));
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
