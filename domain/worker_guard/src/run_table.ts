/**
 * The attempts at one sidecar with the worker resources that they hold, and the latest settlements, which
 * answer requests that are repeated after a lost connection.
 */
import {
  addResources,
  Counter,
  type DispatchOutput,
  DispatchReplyKind,
  isWithin,
  jobTaskKey,
  type JobTaskReference,
  type Milliseconds,
  NO_RESOURCES,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type Resources,
  type RunTask,
  SettlementKind,
  subtractResources,
  type TaskSettlement,
  type WorkerLoad,
} from "@eelgrassfront/model";
import { ExpiringMap } from "@eelgrassfront/retention";
import { RunPhase, type WorkerRun } from "./worker_run.ts";

/** How long settlements are kept: longer than an entry takes to detect a lost connection. */
const SETTLEMENT_HORIZON_MILLISECONDS: Milliseconds = 5_000;
const MAXIMUM_SETTLEMENTS = 10_000;

/** Collaborators of a `RunTable`. */
export interface RunTableOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  /** Returns the load that is sent to an entry with each settlement. */
  readonly load: (entry: ProcessIdentifier) => WorkerLoad | undefined;
}

/** One attempt of an entry at a task. */
export type AttemptReference = Pick<RunTask, "task" | "attempt">;

/** The request that waits for the settlement of an attempt. */
export interface RunWaiter {
  readonly from: ProcessIdentifier;
  readonly request: RequestIdentifier;
}

/** The active attempts at one sidecar and the settlements of the latest ones. */
export class RunTable {
  readonly #options: RunTableOptions;
  readonly #runs = new Map<string, WorkerRun>();
  readonly #settled = new ExpiringMap<string, TaskSettlement>({
    horizonMilliseconds: SETTLEMENT_HORIZON_MILLISECONDS,
    maximumWeight: MAXIMUM_SETTLEMENTS,
    weigh: () => 1,
  });
  #used: Resources = NO_RESOURCES;
  #revision = 0;
  /** The attempts as `all` returned them last; undefined since one was added or removed. */
  #snapshot: readonly WorkerRun[] | undefined;
  /** Attempts from the oldest that may not have been sent to the worker; an attempt never waits again. */
  #unsent: WorkerRun[] = [];
  #suspectCount = 0;

  constructor(options: RunTableOptions) {
    this.#options = options;
  }

  /** Resources of all accepted attempts, in any phase. */
  get used(): Resources {
    return this.#used;
  }

  /** Rises with each change of the load. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of attempts. */
  get size(): number {
    return this.#runs.size;
  }

  /** Whether there are attempts that run apart because they may crash the worker. */
  get hasSuspects(): boolean {
    return this.#suspectCount > 0;
  }

  /** All attempts. The list does not change when attempts are added or removed. */
  all(): readonly WorkerRun[] {
    this.#snapshot ??= [...this.#runs.values()];
    return this.#snapshot;
  }

  /** Attempts whose start was sent to the worker. */
  sentToWorker(): readonly WorkerRun[] {
    return this.all().filter(({ state }) => state.phase !== RunPhase.Waiting);
  }

  /** Whether the start of any attempt was sent to the worker. */
  get hasSentToWorker(): boolean {
    return this.all().some(({ state }) => state.phase !== RunPhase.Waiting);
  }

  /** Finds the active attempt at a task. */
  find(task: JobTaskReference): WorkerRun | undefined {
    return this.#runs.get(jobTaskKey(task));
  }

  /** Whether an attempt has not been settled. */
  has(run: WorkerRun): boolean {
    return this.#runs.get(run.key) === run;
  }

  /** Raises the revision because another part of the load has changed. */
  raiseRevision(): void {
    this.#revision += 1;
  }

  /** Adds a new attempt, whose resources must be free. */
  add(waiter: RunWaiter, message: RunTask): WorkerRun {
    const { session, task, attempt, content, resources } = message;
    const key = jobTaskKey(task);
    const run: WorkerRun = {
      key,
      task,
      attempt,
      entry: waiter.from,
      session,
      content,
      resources,
      requirements: message.requirements,
      expectedMilliseconds: message.expectedMilliseconds,
      acceptedAt: this.#options.collector.now,
      suspectRoute: message.suspectRoute,
      workKind: message.workKind,
      request: waiter.request,
      state: { phase: RunPhase.Waiting },
    };
    this.#runs.set(key, run);
    this.#snapshot = undefined;
    this.#unsent.push(run);
    if (run.suspectRoute !== undefined) this.#suspectCount += 1;
    this.#used = addResources(this.#used, resources);
    this.raiseRevision();
    return run;
  }

  /** The next attempt that was not sent to the worker yet. */
  nextToStart(): WorkerRun | undefined {
    if (this.#unsent.length === 0) return undefined;
    this.#unsent = this.#unsent.filter((run) =>
      run.state.phase === RunPhase.Waiting && this.has(run)
    );
    return this.#unsent[0];
  }

  /** Whether the resources are free at a worker of this capacity. */
  hasCapacityFor(capacity: Resources, resources: Resources): boolean {
    return isWithin(resources, subtractResources(capacity, this.#used));
  }

  /** Removes an attempt, frees its resources and sends the settlement to its entry. */
  settle(run: WorkerRun, settlement: TaskSettlement): void {
    this.#runs.delete(run.key);
    this.#snapshot = undefined;
    if (run.suspectRoute !== undefined) this.#suspectCount -= 1;
    this.#used = subtractResources(this.#used, run.resources);
    this.raiseRevision();
    this.recordSettlement(run.entry, run, settlement);
    this.sendSettlement({ from: run.entry, request: run.request }, settlement);
  }

  /** Records the settlement of an attempt; requests for the attempt get it from now on. */
  recordSettlement(
    entry: ProcessIdentifier,
    attempt: AttemptReference,
    settlement: TaskSettlement,
  ): void {
    const { now } = this.#options.collector;
    this.#settled.set(now, settlementKey(entry, attempt), settlement);
  }

  /** The settlement of an attempt that ended recently. */
  settlementOf(
    entry: ProcessIdentifier,
    attempt: AttemptReference,
  ): TaskSettlement | undefined {
    return this.#settled.get(settlementKey(entry, attempt));
  }

  /** Sends a settlement to an entry. */
  sendSettlement(
    { from, request }: RunWaiter,
    settlement: TaskSettlement,
  ): void {
    const { collector } = this.#options;
    collector.count(Counter.TasksSettled, reasonOf(settlement));
    const load = this.#options.load(from);
    collector.add({
      kind: OutputKind.SendReply,
      to: from,
      request,
      message: {
        kind: DispatchReplyKind.TaskSettled,
        settlement,
        ...(load === undefined ? {} : { load }),
      },
    });
  }
}

function settlementKey(
  entry: ProcessIdentifier,
  { task, attempt }: AttemptReference,
): string {
  return `${entry} ${jobTaskKey(task)} ${attempt}`;
}

/** The most specific reason of a settlement, as a label for metrics and events. */
export function reasonOf(settlement: TaskSettlement) {
  switch (settlement.kind) {
    case SettlementKind.Completed:
    case SettlementKind.Failed:
      return settlement.kind;
    case SettlementKind.NotStarted:
    case SettlementKind.Interrupted:
      return settlement.reason;
  }
}
