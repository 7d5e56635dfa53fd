/**
 * Runs the real decision code of one process against a simulated fleet that replies immediately. Only the
 * time inside the state machine is counted; codecs, sockets and the simulation itself are not.
 */
import { DEFAULT_TIMING } from "@eelgrassfront/membership";
import {
  assertNever,
  type BackendServerDescription,
  type Decisions,
  InputKind,
  JobOutcomeKind,
  type LogRecord,
  LogRecordKind,
  type Milliseconds,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type PeerRequest,
  PeerRequestKind,
  type ProcessIdentifier,
  processIdentifier,
  type ProcessInput,
  type ProcessOutput,
  Role,
  type RunnerLoad,
  TaskEndKind,
} from "@eelgrassfront/model";

/** Behaviour of the simulated fleet. */
export interface BenchOptions {
  /** Kinds of requests that the fleet never replies to; none by default. */
  readonly unansweredKinds?: readonly PeerRequestKind[];
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const STEP_MILLISECONDS: Milliseconds = 50;
const STARTUP_MILLISECONDS: Milliseconds = 4_000;
/** Interval between reads of the log. */
const READ_MILLISECONDS: Milliseconds = 500;
const AVAILABILITY_ZONES = 6;

/** Description of every backend server in the simulated fleet. */
export const BENCH_BACKEND_SERVER: BackendServerDescription = {
  service: "service",
  slots: 8,
  processorCores: 32,
  memoryMegabytes: 131_072,
  accelerators: 2,
};

const IDLE_LOAD: RunnerLoad = {
  slots: BENCH_BACKEND_SERVER.slots,
  running: 0,
  queued: 0,
  expectedWaitMilliseconds: 0,
  isLeaving: false,
};

/** One process under test, with its simulated fleet and clock. */
export class CapacityBench {
  /** Time spent in the state machine since the last reset, in microseconds. */
  busyMicroseconds = 0;
  /** One sample message of each kind that the process and its peers sent. */
  readonly samples = new Map<string, PeerRequest | PeerReply>();
  readonly #decisions: Decisions;
  readonly #unansweredKinds: ReadonlySet<PeerRequestKind>;
  readonly #pendingInputs: ProcessInput[] = [];
  #now: Milliseconds = 0;
  #readAt: Milliseconds = 0;
  #nextLogOffset = 1;

  constructor(decisions: Decisions, options: BenchOptions = {}) {
    this.#decisions = decisions;
    this.#unansweredKinds = new Set(options.unansweredKinds ?? []);
  }

  /** Offset of the newest log record. */
  get lastOffset(): number {
    return this.#nextLogOffset - 1;
  }

  /** Delivers an input, and every input that results from its outputs. */
  deliver(input: ProcessInput): void {
    this.#pendingInputs.push(input);
    for (;;) {
      const next = this.#pendingInputs.shift();
      if (next === undefined) return;
      this.#step(next);
    }
  }

  /** Appends records to the log and delivers them to the process. */
  deliverRecords(records: readonly LogRecord[]): void {
    const storedRecords = records.map((record) => {
      const offset = this.#nextLogOffset;
      this.#nextLogOffset += 1;
      return { offset, appendedAt: this.#now, record };
    });
    this.#readAt = this.#now;
    this.deliver({
      kind: InputKind.LogRecordsRead,
      records: storedRecords,
      firstRetained: 1,
      nextOffset: this.#nextLogOffset,
      isAtEnd: true,
      readStartedAt: this.#now,
      logClock: this.#now,
    });
  }

  /** Advances the clock in steps of 50 ms. The default is enough to grant claims and answer heartbeats. */
  advanceInSteps(milliseconds: Milliseconds = STARTUP_MILLISECONDS): void {
    const until = this.#now + milliseconds;
    while (this.#now < until) this.advance(STEP_MILLISECONDS);
  }

  /** Advances the clock once; delivers a log read and an alarm if they are due. */
  advance(milliseconds: Milliseconds): void {
    this.#now += milliseconds;
    if (this.#now - this.#readAt >= READ_MILLISECONDS) this.deliverRecords([]);
    const alarm = this.#decisions.nextAlarm() ?? Infinity;
    if (alarm <= this.#now) this.deliver({ kind: InputKind.AlarmFired });
  }

  /** Measures the time that an action spends in the decisions, in microseconds. */
  measure(action: () => void): number {
    this.busyMicroseconds = 0;
    action();
    return this.busyMicroseconds;
  }

  #step(input: ProcessInput): void {
    const startedAt = performance.now();
    const outputs = this.#decisions.step(this.#now, input);
    this.busyMicroseconds += (performance.now() - startedAt) *
      MICROSECONDS_PER_MILLISECOND;
    for (const output of outputs) this.#handleOutput(output);
  }

  #handleOutput(output: ProcessOutput): void {
    switch (output.kind) {
      case OutputKind.SendRequest: {
        const { request, peer, message } = output;
        this.samples.set(message.kind, message);
        const reply = this.#createReply(message);
        if (reply === undefined) return;
        this.samples.set(reply.kind, reply);
        this.#pendingInputs.push({
          kind: InputKind.PeerReplyArrived,
          from: peer,
          request,
          message: reply,
        });
        return;
      }
      case OutputKind.SendReply:
        this.samples.set(output.message.kind, output.message);
        return;
      case OutputKind.AppendRecord:
        this.deliverRecords([output.record]);
        return;
      case OutputKind.ExecuteTask:
        this.#pendingInputs.push({
          kind: InputKind.TaskExecutionEnded,
          attempt: output.attempt,
          end: createBenchTaskEnd(),
        });
        return;
      case OutputKind.AnswerCaller:
      case OutputKind.AnswerOperator:
      case OutputKind.ApplyConfiguration:
      case OutputKind.IncrementCounter:
      case OutputKind.RecordEvent:
      case OutputKind.ReportReadiness:
      case OutputKind.SetGauge:
      case OutputKind.Stop:
        return;
      default:
        assertNever(output);
    }
  }

  #createReply(message: PeerRequest): PeerReply | undefined {
    if (this.#unansweredKinds.has(message.kind)) return undefined;
    switch (message.kind) {
      case PeerRequestKind.Heartbeat:
        return {
          kind: PeerReplyKind.HeartbeatAnswered,
          logOffset: this.#nextLogOffset,
          isLeaving: false,
          granted: [],
        };
      case PeerRequestKind.CollectStartRecords:
        return {
          kind: PeerReplyKind.StartRecordsCollected,
          records: [],
          fenced: [],
        };
      case PeerRequestKind.StartTask:
        return {
          kind: PeerReplyKind.TaskEnded,
          end: createBenchTaskEnd(),
          load: IDLE_LOAD,
        };
      case PeerRequestKind.SubmitJob:
        return {
          kind: PeerReplyKind.JobAnswered,
          outcome: {
            kind: JobOutcomeKind.Completed,
            results: [createBenchTaskEnd().result],
          },
          isKeyReused: false,
          epoch: 1,
        };
      case PeerRequestKind.QueryJob:
      case PeerRequestKind.CancelJob:
      case PeerRequestKind.CancelTask:
      case PeerRequestKind.HandOverShards:
      case PeerRequestKind.HandOverRecords:
        return undefined;
      default:
        return assertNever(message);
    }
  }
}

/** Membership timing of the process under test: the defaults. */
export const BENCH_TIMING = DEFAULT_TIMING;

/** Returns the identifier of a sidecar in the simulated fleet. */
export function benchSidecar(index: number): ProcessIdentifier {
  return processIdentifier(`sidecar-${index}`, "0123456789ab");
}

/** Creates the log record with which a sidecar of the simulated fleet joins. */
export function createMemberJoined(process: ProcessIdentifier): LogRecord {
  const index = Number(/\d+/.exec(process)?.[0] ?? 0);
  return {
    kind: LogRecordKind.MemberJoined,
    process,
    role: Role.Sidecar,
    availabilityZone: `zone-${index % AVAILABILITY_ZONES + 1}`,
    address: `10.0.${Math.floor(index / 250)}.${index % 250}:7200`,
    backendServer: BENCH_BACKEND_SERVER,
  };
}

/** Creates the end of a task; every task in the simulated fleet ends this way. */
export function createBenchTaskEnd() {
  return {
    kind: TaskEndKind.Succeeded as const,
    result: JSON.stringify({ verdict: "accepted", of: "an ingredient" }),
    runMilliseconds: 50,
  };
}
