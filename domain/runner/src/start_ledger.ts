/**
 * The start record of one runner: every task that it accepted, and every attempt that it refused.
 * Ended tasks stay for the horizon; when their results grow too heavy, the oldest lose the result but
 * never the fact of the start.
 */
import {
  type AttemptIdentifier,
  type Milliseconds,
  type ShardNumber,
  type StartRecord,
  type TaskEnd,
  TaskEndKind,
  type TaskIdentifier,
  taskIdentifier,
  type TaskRefusalReason,
} from "@eelgrassfront/model";
import { ExpiringMap } from "@eelgrassfront/retention";
import { describeStart, RecordPhase, type TaskRecord } from "./task_record.ts";

/** Bounds of a ledger. */
export interface StartLedgerOptions {
  readonly horizonMilliseconds: Milliseconds;
  /** Bytes of results that are kept. */
  readonly maximumResultBytes: number;
  /** Tasks that are remembered; beyond it no new task is accepted. */
  readonly maximumTasks?: number;
}

const MAXIMUM_TASKS = 1_000_000;
/** Refusals that are remembered for late copies of their placements. */
const MAXIMUM_REFUSALS = 1_000_000;
const RECORD_OVERHEAD_BYTES = 1_200;

/** Everything that a runner accepted or refused. */
export class StartLedger {
  readonly #open = new Map<TaskIdentifier, TaskRecord>();
  readonly #ended: ExpiringMap<TaskIdentifier, TaskRecord>;
  readonly #dropped: ExpiringMap<TaskIdentifier, TaskRecord>;
  readonly #refused: ExpiringMap<AttemptIdentifier, TaskRefusalReason>;
  readonly #adopted: ExpiringMap<TaskIdentifier, StartRecord>;
  readonly #maximumTasks: number;

  constructor(options: StartLedgerOptions) {
    const { horizonMilliseconds } = options;
    this.#maximumTasks = options.maximumTasks ?? MAXIMUM_TASKS;
    this.#dropped = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: Infinity,
      weigh: () => 1,
    });
    this.#ended = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: options.maximumResultBytes,
      weigh: weighRecord,
      onEviction: (task, record, now) => this.#drop(now, task, record),
    });
    this.#refused = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: MAXIMUM_REFUSALS,
      weigh: () => 1,
    });
    this.#adopted = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: Infinity,
      weigh: () => 1,
    });
  }

  /** Whether no more tasks can be remembered; a start that is forgotten early could happen again. */
  isFull(now: Milliseconds): boolean {
    const kept = [this.#ended, this.#dropped, this.#adopted];
    for (const records of kept) records.purge(now);
    const size = kept.reduce((sum, records) => sum + records.size, 0);
    return this.#open.size + size >= this.#maximumTasks;
  }

  /** Finds the record of a task. */
  find(task: TaskIdentifier): TaskRecord | undefined {
    return this.#open.get(task) ?? this.#ended.get(task) ??
      this.#dropped.get(task);
  }

  /** Whether another runner handed over a record of this task. */
  isAdopted(task: TaskIdentifier): boolean {
    return this.#adopted.get(task) !== undefined;
  }

  /** Records a task that was accepted. */
  open(record: TaskRecord): void {
    this.#open.set(taskOf(record), record);
  }

  /** Records how a task ended. */
  close(now: Milliseconds, record: TaskRecord, end: TaskEnd): void {
    const task = taskOf(record);
    record.phase = { phase: RecordPhase.Ended, end };
    this.#open.delete(task);
    this.#ended.set(now, task, record);
  }

  /** Takes back a task that has not started, and records that the attempt never will. */
  withdraw(
    now: Milliseconds,
    record: TaskRecord,
    reason: TaskRefusalReason,
  ): void {
    this.#open.delete(taskOf(record));
    this.refuse(now, record.attempt, reason);
  }

  /** Records that an attempt never starts. */
  refuse(
    now: Milliseconds,
    attempt: AttemptIdentifier,
    reason: TaskRefusalReason,
  ): void {
    this.#refused.set(now, attempt, reason);
  }

  /** Why an attempt was refused, if it was. */
  findRefusal(attempt: AttemptIdentifier): TaskRefusalReason | undefined {
    return this.#refused.get(attempt);
  }

  /** Keeps records of a runner that leaves. */
  adopt(now: Milliseconds, records: readonly StartRecord[]): void {
    for (const record of records) {
      const task = taskIdentifier(record.submission, record.taskIndex);
      this.#adopted.set(now, task, record);
    }
  }

  /** The start records of some shards, or of all. */
  starts(shards?: ReadonlySet<ShardNumber>): readonly StartRecord[] {
    const isAsked = (shard: ShardNumber) => shards?.has(shard) ?? true;
    const own = [
      ...this.#open.values(),
      ...this.#ended.values(),
      ...this.#dropped.values(),
    ]
      .filter((record) => isAsked(record.order.shard))
      .map(describeStart)
      .filter((start) => start !== undefined);
    const adopted = [...this.#adopted.values()]
      .filter((record) => isAsked(record.shard));
    return [...own, ...adopted];
  }

  #drop(now: Milliseconds, task: TaskIdentifier, record: TaskRecord): void {
    record.phase = { phase: RecordPhase.ResultDropped };
    this.#dropped.set(now, task, record);
  }
}

function taskOf(record: TaskRecord): TaskIdentifier {
  return taskIdentifier(record.order.submission, record.order.taskIndex);
}

function weighRecord(record: TaskRecord): number {
  const { phase } = record;
  const isResultKept = phase.phase === RecordPhase.Ended &&
    phase.end.kind === TaskEndKind.Succeeded;
  const result = isResultKept ? phase.end.result.length : 0;
  return RECORD_OVERHEAD_BYTES + record.order.task.payload.length + result;
}
