/**
 * State machine of the runner, the only part of the system that starts tasks on its backend server. Every
 * request to the runner is idempotent: a repeated placement attaches to the first one, and a refused attempt
 * stays refused, however late its copies arrive.
 */
import {
  createQueueDiscipline,
  EQUAL_SHARES,
  FairQueue,
  QueueDisciplineKind,
  type QueueItemMetadata,
} from "@eelgrassfront/fairness";
import {
  assertInvariant,
  type AttemptIdentifier,
  type BackendServerDescription,
  type CancelTask,
  type CollectStartRecords,
  Counter,
  type Epoch,
  EventNumber,
  Gauge,
  type HandOverRecords,
  Invariant,
  type Milliseconds,
  NoFreeSlotPolicy,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type ProcessError,
  type RunnerLoad,
  type ShardEpoch,
  type ShardNumber,
  type StartRecord,
  type StartRecordsCollected,
  type StartTask,
  type TaskEnd,
  TaskEndKind,
  taskIdentifier,
  TaskRefusalReason,
  UNCLAIMED_EPOCH,
} from "@eelgrassfront/model";
import { StartRecordStore } from "./start_record_store.ts";
import {
  attemptOf,
  RecordPhase,
  type TaskRecord,
  type Waiter,
} from "./task_record.ts";

/** Limits of a runner. */
export interface RunnerDecisionsOptions {
  readonly collector: OutputCollector;
  /** Whether this process's view of the log is recent enough to act on. */
  readonly isFresh: () => boolean;
  /** How long records of ended tasks and refused attempts are kept. */
  readonly horizonMilliseconds: Milliseconds;
  /** Bytes of results that are kept. */
  readonly maximumResultBytes: number;
  /** Tasks that may wait for a slot. */
  readonly maximumQueuedTasks: number;
  readonly queueDiscipline?: QueueDisciplineKind;
}

/** Estimate of a task's run time before the first task has ended. */
const INITIAL_RUN_MILLISECONDS: Milliseconds = 300;
/** Weight of one run time in the exponential moving average. */
const RUN_TIME_SMOOTHING = 0.1;

/** The runner of one backend server. */
export class RunnerDecisions {
  readonly #options: RunnerDecisionsOptions;
  readonly #startRecords: StartRecordStore;
  readonly #queue: FairQueue<TaskRecord>;
  readonly #running = new Map<AttemptIdentifier, TaskRecord>();
  readonly #fences = new Map<ShardNumber, Epoch>();
  #backendServer: BackendServerDescription | undefined;
  #isLeaving = false;
  #meanRunMilliseconds = INITIAL_RUN_MILLISECONDS;

  constructor(options: RunnerDecisionsOptions) {
    this.#options = options;
    this.#startRecords = new StartRecordStore(options);
    const kind = options.queueDiscipline ?? QueueDisciplineKind.WeightedShares;
    this.#queue = new FairQueue(
      createQueueDiscipline(kind, () => EQUAL_SHARES),
    );
  }

  /** Whether no task is running or queued. */
  get isIdle(): boolean {
    return this.#running.size === 0 && this.#queue.size === 0;
  }

  /** Description of the backend server; undefined while it is unreachable. */
  get backendServer(): BackendServerDescription | undefined {
    return this.#backendServer;
  }

  /** Load that is reported to owners. */
  load(): RunnerLoad {
    const slots = this.#backendServer?.slots ?? 0;
    const queued = this.#queue.size;
    return {
      slots,
      running: this.#running.size,
      queued,
      expectedWaitMilliseconds: slots === 0
        ? 0
        : queued * this.#meanRunMilliseconds / slots,
      isLeaving: this.#isLeaving,
    };
  }

  /** All start records of this runner, for the handover to another runner. */
  allStartRecords(): readonly StartRecord[] {
    return this.#startRecords.list();
  }

  /** Updates the backend server's description and starts queued tasks. */
  updateBackendServer(description: BackendServerDescription): void {
    this.#backendServer = description;
    this.#startNext();
  }

  /** Refuses all queued tasks because the backend server is unreachable. */
  handleBackendServerLoss(error: ProcessError): void {
    if (this.#backendServer === undefined) return;
    this.#backendServer = undefined;
    this.#options.collector.recordError(
      EventNumber.BackendServerUnreachable,
      error,
    );
    this.#refuseQueued(TaskRefusalReason.BackendServerUnavailable, () => true);
  }

  /** Refuses all queued and later tasks; running tasks finish. */
  drain(): void {
    this.#isLeaving = true;
    this.#refuseQueued(TaskRefusalReason.Leaving, () => true);
  }

  /** Starts queued tasks that have a free slot. */
  tick(): void {
    this.#startNext();
  }

  /** Accepts a placement, attaches it to an earlier one of the same task, or refuses it. */
  start(waiter: Waiter, placement: StartTask): void {
    const attempt = attemptOf(placement);
    this.#raiseFence({ shard: placement.shard, epoch: placement.epoch });
    const record = this.#startRecords.find(
      taskIdentifier(placement.submission, placement.taskIndex),
    );
    if (record !== undefined) {
      this.#attach(waiter, attempt, record);
      return;
    }
    const refusal = this.#startRecords.findRefusal(attempt) ??
      this.#findRefusalReason(placement);
    if (refusal !== undefined) {
      this.#refuse(waiter, attempt, refusal);
      return;
    }
    this.#enqueue(waiter, attempt, placement);
    this.#startNext();
  }

  /** Cancels a placement whose task has not started; a placement that arrives after this is refused. */
  cancel(waiter: Waiter, cancellation: CancelTask): void {
    const attempt = attemptOf(cancellation);
    const task = taskIdentifier(
      cancellation.submission,
      cancellation.taskIndex,
    );
    const record = this.#startRecords.find(task);
    const isSame = record?.attempt === attempt;
    if (!isSame || record === undefined) {
      this.#refuse(waiter, attempt, TaskRefusalReason.Cancelled);
      return;
    }
    switch (record.phase.phase) {
      case RecordPhase.Queued:
        record.waiters.push(waiter);
        this.#refuseQueued(
          TaskRefusalReason.Cancelled,
          (queued) => queued === record,
        );
        return;
      case RecordPhase.Running:
      case RecordPhase.ResultDropped:
        this.#reply(waiter, {
          kind: PeerReplyKind.TaskStarted,
          load: this.load(),
        });
        return;
      case RecordPhase.Ended:
        this.#reply(waiter, this.#endedReply(record.phase.end));
        return;
    }
  }

  /** Raises the fence of the shards and returns their start records. */
  collectStartRecords(request: CollectStartRecords): StartRecordsCollected {
    const isNewerKnown = ({ shard, epoch }: ShardEpoch) =>
      this.#fenceOf(shard) > epoch;
    const fenced = request.shards.filter(isNewerKnown);
    for (const shardEpoch of request.shards) this.#raiseFence(shardEpoch);
    const shards = new Set(request.shards.map(({ shard }) => shard));
    return {
      kind: PeerReplyKind.StartRecordsCollected,
      records: this.#startRecords.list(shards),
      fenced: fenced.map(({ shard }) => ({
        shard,
        epoch: this.#fenceOf(shard),
      })),
    };
  }

  /** Imports the start records of a runner that leaves. */
  importRecords(message: HandOverRecords): void {
    this.#startRecords.importRecords(
      this.#options.collector.now,
      message.records,
    );
  }

  /** Records the end of a task and answers its waiters. */
  finish(attempt: AttemptIdentifier, end: TaskEnd): void {
    const record = this.#running.get(attempt);
    assertInvariant(
      record !== undefined,
      Invariant.AnswerReachesItsRequest,
      () => `the backend server ended ${attempt}, which is not running`,
    );
    this.#running.delete(attempt);
    this.#startRecords.close(this.#options.collector.now, record, end);
    this.#updateRunTime(record, end);
    for (const waiter of record.waiters) {
      this.#reply(waiter, this.#endedReply(end));
    }
    record.waiters = [];
    this.#startNext();
  }

  /** Withdraws a task that was not sent to the backend server. */
  withdrawUnsent(attempt: AttemptIdentifier): void {
    const record = this.#running.get(attempt);
    if (record === undefined) return;
    this.#running.delete(attempt);
    this.#withdraw(record, TaskRefusalReason.BackendServerUnavailable);
    this.#startNext();
  }

  #attach(
    waiter: Waiter,
    attempt: AttemptIdentifier,
    record: TaskRecord,
  ): void {
    switch (record.phase.phase) {
      case RecordPhase.Queued:
        if (record.attempt !== attempt) {
          const reason = TaskRefusalReason.TaskAlreadyRecorded;
          this.#refuse(waiter, attempt, reason);
          return;
        }
        record.waiters.push(waiter);
        return;
      case RecordPhase.Running:
        record.waiters.push(waiter);
        return;
      case RecordPhase.Ended:
        this.#reply(waiter, this.#endedReply(record.phase.end));
        return;
      case RecordPhase.ResultDropped:
        this.#reply(
          waiter,
          this.#endedReply({
            kind: TaskEndKind.Lost,
            detail: "the result is no longer retained",
          }),
        );
        return;
    }
  }

  #findRefusalReason(placement: StartTask): TaskRefusalReason | undefined {
    if (placement.epoch < this.#fenceOf(placement.shard)) {
      return TaskRefusalReason.Fenced;
    }
    if (this.#isLeaving) return TaskRefusalReason.Leaving;
    if (!this.#options.isFresh()) return TaskRefusalReason.Isolated;
    if (this.#backendServer === undefined) {
      return TaskRefusalReason.BackendServerUnavailable;
    }
    const task = taskIdentifier(placement.submission, placement.taskIndex);
    if (this.#startRecords.isImported(task)) {
      return TaskRefusalReason.TaskAlreadyRecorded;
    }
    const isStoreFull = this.#startRecords.isFull(this.#options.collector.now);
    if (
      isStoreFull || this.#queue.size >= this.#options.maximumQueuedTasks
    ) {
      return TaskRefusalReason.QueueFull;
    }
    if (!this.#isSlotFree(placement)) return TaskRefusalReason.SlotTaken;
    return undefined;
  }

  #isSlotFree(placement: StartTask): boolean {
    switch (placement.slotClaim) {
      case NoFreeSlotPolicy.Wait:
        return true;
      case NoFreeSlotPolicy.Refuse: {
        const slots = this.#backendServer?.slots ?? 0;
        return this.#running.size + this.#queue.size < slots;
      }
    }
  }

  #enqueue(
    waiter: Waiter,
    attempt: AttemptIdentifier,
    placement: StartTask,
  ): void {
    const { now } = this.#options.collector;
    const record: TaskRecord = {
      placement,
      attempt,
      phase: {
        phase: RecordPhase.Queued,
        deadlineAt: now + placement.remainingMilliseconds,
      },
      waiters: [waiter],
    };
    this.#startRecords.open(record);
    this.#queue.add({ ...queueMetadataOf(placement), arrivedAt: now }, record);
  }

  #startNext(): void {
    const slots = this.#backendServer?.slots ?? 0;
    while (
      this.#running.size < slots && this.#queue.size > 0 &&
      this.#options.isFresh()
    ) {
      const record = this.#queue.take(this.#options.collector.now);
      if (record === undefined) break;
      this.#startOrExpire(record);
    }
    this.#reportGauges();
  }

  #startOrExpire(record: TaskRecord): void {
    const { now } = this.#options.collector;
    const { phase } = record;
    assertInvariant(
      phase.phase === RecordPhase.Queued,
      Invariant.NoSecondStart,
      () => `${record.attempt} is ${phase.phase}`,
    );
    if (phase.deadlineAt <= now) {
      this.#withdraw(record, TaskRefusalReason.DeadlinePassed);
      return;
    }
    this.#execute(record);
  }

  #execute(record: TaskRecord): void {
    const { placement, attempt } = record;
    const { collector } = this.#options;
    assertInvariant(
      !this.#isLeaving,
      Invariant.NoStartAfterDrain,
      () => `${attempt} would start after leaving`,
    );
    assertInvariant(
      placement.epoch >= this.#fenceOf(placement.shard),
      Invariant.NoStartForFencedEpoch,
      () => `${attempt} is fenced by ${this.#fenceOf(placement.shard)}`,
    );
    record.phase = { phase: RecordPhase.Running, startedAt: collector.now };
    this.#running.set(attempt, record);
    assertInvariant(
      this.#running.size <= (this.#backendServer?.slots ?? 0),
      Invariant.SlotsNotExceeded,
      () => `${this.#running.size} tasks are running`,
    );
    collector.count(Counter.TasksStarted);
    collector.add({
      kind: OutputKind.ExecuteTask,
      attempt,
      kindOfWork: placement.kindOfWork,
      task: placement.task,
    });
  }

  #raiseFence({ shard, epoch }: ShardEpoch): void {
    if (epoch <= this.#fenceOf(shard)) return;
    this.#fences.set(shard, epoch);
    this.#refuseQueued(
      TaskRefusalReason.Fenced,
      ({ placement }) => placement.shard === shard && placement.epoch < epoch,
    );
  }

  #fenceOf(shard: ShardNumber): Epoch {
    return this.#fences.get(shard) ?? UNCLAIMED_EPOCH;
  }

  #refuseQueued(
    reason: TaskRefusalReason,
    matches: (record: TaskRecord) => boolean,
  ): void {
    for (const record of this.#queue.removeWhere(matches)) {
      this.#withdraw(record, reason);
    }
  }

  #withdraw(record: TaskRecord, reason: TaskRefusalReason): void {
    this.#startRecords.withdraw(this.#options.collector.now, record, reason);
    for (const waiter of record.waiters) {
      this.#replyRefused(waiter, record.placement.shard, reason);
    }
    record.waiters = [];
  }

  #refuse(
    waiter: Waiter,
    attempt: AttemptIdentifier,
    reason: TaskRefusalReason,
  ): void {
    this.#startRecords.refuse(this.#options.collector.now, attempt, reason);
    this.#replyRefused(waiter, undefined, reason);
  }

  #replyRefused(
    waiter: Waiter,
    shard: ShardNumber | undefined,
    reason: TaskRefusalReason,
  ): void {
    this.#options.collector.count(Counter.TasksRefused, reason);
    this.#reply(waiter, {
      kind: PeerReplyKind.TaskRefused,
      reason,
      knownEpoch: shard === undefined ? UNCLAIMED_EPOCH : this.#fenceOf(shard),
      load: this.load(),
    });
  }

  #endedReply(end: TaskEnd): PeerReply {
    return { kind: PeerReplyKind.TaskEnded, end, load: this.load() };
  }

  #reply(waiter: Waiter, message: PeerReply): void {
    this.#options.collector.add({
      kind: OutputKind.SendReply,
      to: waiter.from,
      request: waiter.request,
      message,
    });
  }

  #updateRunTime(record: TaskRecord, end: TaskEnd): void {
    if (end.kind === TaskEndKind.Lost) return;
    const change = end.runMilliseconds - this.#meanRunMilliseconds;
    this.#meanRunMilliseconds += change * RUN_TIME_SMOOTHING;
    this.#queue.charge(record.placement, end.runMilliseconds);
  }

  #reportGauges(): void {
    const { collector } = this.#options;
    const { queued, running } = this.load();
    collector.add({
      kind: OutputKind.SetGauge,
      gauge: Gauge.QueuedTasks,
      value: queued,
    });
    collector.add({
      kind: OutputKind.SetGauge,
      gauge: Gauge.RunningTasks,
      value: running,
    });
  }
}

function queueMetadataOf(
  placement: StartTask,
): Omit<QueueItemMetadata, "arrivedAt"> {
  const { submission, team, kindOfWork, servedMilliseconds } = placement;
  return { submission, team, kindOfWork, servedMilliseconds };
}
