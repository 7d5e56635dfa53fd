/**
 * The start records of one runner: every task that it accepted, and every attempt that it refused. Records of
 * ended tasks are kept for the horizon. When their results exceed the byte limit, the oldest results are
 * dropped, but the records of the starts are kept.
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
import { RecordPhase, type TaskRecord, toStartRecord } from "./task_record.ts";

/** Retention limits of a `StartRecordStore`. */
export interface StartRecordStoreOptions {
  /** How long records of ended tasks and refused attempts are kept. */
  readonly horizonMilliseconds: Milliseconds;
  /** Bytes of results that are kept. */
  readonly maximumResultBytes: number;
  /** Number of tasks whose records are kept; at the limit no new task is accepted. */
  readonly maximumTasks?: number;
}

const MAXIMUM_TASKS = 1_000_000;
/** Refusals that are kept, to refuse late copies of their placements. */
const MAXIMUM_REFUSALS = 1_000_000;
/** Estimated size of a record without its payload and result. */
const RECORD_OVERHEAD_BYTES = 1_200;

/** Records of all tasks that a runner accepted and of all attempts that it refused. */
export class StartRecordStore {
  readonly #open = new Map<TaskIdentifier, TaskRecord>();
  readonly #ended: ExpiringMap<TaskIdentifier, TaskRecord>;
  readonly #withoutResult: ExpiringMap<TaskIdentifier, TaskRecord>;
  readonly #refused: ExpiringMap<AttemptIdentifier, TaskRefusalReason>;
  readonly #imported: ExpiringMap<TaskIdentifier, StartRecord>;
  readonly #maximumTasks: number;

  constructor(options: StartRecordStoreOptions) {
    const { horizonMilliseconds } = options;
    this.#maximumTasks = options.maximumTasks ?? MAXIMUM_TASKS;
    this.#withoutResult = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: Infinity,
      weigh: () => 1,
    });
    this.#ended = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: options.maximumResultBytes,
      weigh: weighRecord,
      onEviction: (task, record, now) => this.#dropResult(now, task, record),
    });
    this.#refused = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: MAXIMUM_REFUSALS,
      weigh: () => 1,
    });
    this.#imported = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: Infinity,
      weigh: () => 1,
    });
  }

  /** Whether no more records can be kept; dropping a record early would allow a second start of its task. */
  isFull(now: Milliseconds): boolean {
    const kept = [this.#ended, this.#withoutResult, this.#imported];
    for (const records of kept) records.purge(now);
    const size = kept.reduce((sum, records) => sum + records.size, 0);
    return this.#open.size + size >= this.#maximumTasks;
  }

  /** Finds the record of a task. */
  find(task: TaskIdentifier): TaskRecord | undefined {
    return this.#open.get(task) ?? this.#ended.get(task) ??
      this.#withoutResult.get(task);
  }

  /** Whether a record of this task was imported from another runner. */
  isImported(task: TaskIdentifier): boolean {
    return this.#imported.get(task) !== undefined;
  }

  /** Records an accepted task. */
  open(record: TaskRecord): void {
    this.#open.set(taskOf(record), record);
  }

  /** Records the end of a task. */
  close(now: Milliseconds, record: TaskRecord, end: TaskEnd): void {
    const task = taskOf(record);
    record.phase = { phase: RecordPhase.Ended, end };
    this.#open.delete(task);
    this.#ended.set(now, task, record);
  }

  /** Removes a task that has not started, and records that its attempt never will start. */
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

  /** Why an attempt was refused; undefined when it was not. */
  findRefusal(attempt: AttemptIdentifier): TaskRefusalReason | undefined {
    return this.#refused.get(attempt);
  }

  /** Imports the records of a runner that leaves. */
  importRecords(now: Milliseconds, records: readonly StartRecord[]): void {
    for (const record of records) {
      const task = taskIdentifier(record.submission, record.taskIndex);
      this.#imported.set(now, task, record);
    }
  }

  /** The start records of the given shards, or of all shards. */
  list(shards?: ReadonlySet<ShardNumber>): readonly StartRecord[] {
    const isIncluded = (shard: ShardNumber) => shards?.has(shard) ?? true;
    const own = [
      ...this.#open.values(),
      ...this.#ended.values(),
      ...this.#withoutResult.values(),
    ]
      .filter((record) => isIncluded(record.placement.shard))
      .map(toStartRecord)
      .filter((start) => start !== undefined);
    const imported = [...this.#imported.values()]
      .filter((record) => isIncluded(record.shard));
    return [...own, ...imported];
  }

  #dropResult(
    now: Milliseconds,
    task: TaskIdentifier,
    record: TaskRecord,
  ): void {
    record.phase = { phase: RecordPhase.ResultDropped };
    this.#withoutResult.set(now, task, record);
  }
}

function taskOf(record: TaskRecord): TaskIdentifier {
  return taskIdentifier(
    record.placement.submission,
    record.placement.taskIndex,
  );
}

function weighRecord(record: TaskRecord): number {
  const { phase } = record;
  const isResultKept = phase.phase === RecordPhase.Ended &&
    phase.end.kind === TaskEndKind.Succeeded;
  const result = isResultKept ? phase.end.result.length : 0;
  return RECORD_OVERHEAD_BYTES + record.placement.task.payload.length + result;
}
