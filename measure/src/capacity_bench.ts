/**
 * The real decisions of one process among a fleet that answers at once. Only the time inside the
 * decisions is counted, so that no codec, socket or fake is part of it.
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

/** Which requests of the process under test the fleet leaves without an answer. */
export interface BenchOptions {
  readonly silentTo?: readonly PeerRequestKind[];
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const SETTLE_STEP_MILLISECONDS: Milliseconds = 50;
const SETTLE_MILLISECONDS: Milliseconds = 4_000;
const READ_MILLISECONDS: Milliseconds = 500;
const AVAILABILITY_ZONES = 6;

/** What every backend server of the bench offers. */
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

/** One process under test. */
export class CapacityBench {
  /** Time spent in the decisions since the last reset. */
  busyMicroseconds = 0;
  /** One message of each kind that the process sent. */
  readonly samples = new Map<string, PeerRequest | PeerReply>();
  readonly #decisions: Decisions;
  readonly #silentTo: ReadonlySet<PeerRequestKind>;
  readonly #waiting: ProcessInput[] = [];
  #now: Milliseconds = 0;
  #readAt: Milliseconds = 0;
  #nextOffset = 1;

  constructor(decisions: Decisions, options: BenchOptions = {}) {
    this.#decisions = decisions;
    this.#silentTo = new Set(options.silentTo ?? []);
  }

  /** Offset of the newest record. */
  get lastOffset(): number {
    return this.#nextOffset - 1;
  }

  /** Gives an input and all that follows from it. */
  feed(input: ProcessInput): void {
    this.#waiting.push(input);
    for (;;) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      this.#step(next);
    }
  }

  /** Lets the process read records. */
  read(records: readonly LogRecord[]): void {
    const placed = records.map((record) => {
      const offset = this.#nextOffset;
      this.#nextOffset += 1;
      return { offset, appendedAt: this.#now, record };
    });
    this.#readAt = this.#now;
    this.feed({
      kind: InputKind.LogRecordsRead,
      records: placed,
      firstRetained: 1,
      nextOffset: this.#nextOffset,
      isAtEnd: true,
      readStartedAt: this.#now,
      logClock: this.#now,
    });
  }

  /** Lets time pass until claims are granted and heartbeats answered. */
  settle(milliseconds: Milliseconds = SETTLE_MILLISECONDS): void {
    const until = this.#now + milliseconds;
    while (this.#now < until) this.pass(SETTLE_STEP_MILLISECONDS);
  }

  /** Lets a time pass. */
  pass(milliseconds: Milliseconds): void {
    this.#now += milliseconds;
    if (this.#now - this.#readAt >= READ_MILLISECONDS) this.read([]);
    const alarm = this.#decisions.nextAlarm() ?? Infinity;
    if (alarm <= this.#now) this.feed({ kind: InputKind.AlarmFired });
  }

  /** Time in the decisions that an action takes, in microseconds. */
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
    for (const output of outputs) this.#perform(output);
  }

  #perform(output: ProcessOutput): void {
    switch (output.kind) {
      case OutputKind.SendRequest: {
        const { request, peer, message } = output;
        this.samples.set(message.kind, message);
        const reply = this.#replyTo(message);
        if (reply === undefined) return;
        this.samples.set(reply.kind, reply);
        this.#waiting.push({
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
        this.read([output.record]);
        return;
      case OutputKind.ExecuteTask:
        this.#waiting.push({
          kind: InputKind.TaskExecutionEnded,
          attempt: output.attempt,
          end: benchTaskEnd(),
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

  #replyTo(message: PeerRequest): PeerReply | undefined {
    if (this.#silentTo.has(message.kind)) return undefined;
    switch (message.kind) {
      case PeerRequestKind.Heartbeat:
        return {
          kind: PeerReplyKind.HeartbeatAnswered,
          logOffset: this.#nextOffset,
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
          end: benchTaskEnd(),
          load: IDLE_LOAD,
        };
      case PeerRequestKind.SubmitJob:
        return {
          kind: PeerReplyKind.JobAnswered,
          outcome: {
            kind: JobOutcomeKind.Completed,
            results: [benchTaskEnd().result],
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

/** Timing of the bench: the default one. */
export const BENCH_TIMING = DEFAULT_TIMING;

/** Name of a sidecar of the bench. */
export function benchSidecar(index: number): ProcessIdentifier {
  return processIdentifier(`sidecar-${index}`, "0123456789ab");
}

/** The record with which a sidecar of the bench joins. */
export function benchJoin(process: ProcessIdentifier): LogRecord {
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

/** How every task of the bench ends. */
export function benchTaskEnd() {
  return {
    kind: TaskEndKind.Succeeded as const,
    result: JSON.stringify({ verdict: "accepted", of: "an ingredient" }),
    runMilliseconds: 50,
  };
}
