/**
 * The attempts at one sidecar: which of them hold resources of the worker, which wait, and the
 * settlements of those that ended a moment ago, for requests that are repeated after a lost connection.
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
import { type GuardedRun, RunPhase } from "./guarded_run.ts";

/** How long settlements are kept: longer than an entry takes to find a lost connection. */
const SETTLEMENT_HORIZON_MILLISECONDS: Milliseconds = 5_000;
const MAXIMUM_SETTLEMENTS = 10_000;

/** What the table needs. */
export interface RunTableOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  /** Tells the load that goes with each settlement to an entry. */
  readonly load: (entry: ProcessIdentifier) => WorkerLoad | undefined;
}

/** Who waits for the settlement of an attempt. */
export interface RunWaiter {
  readonly from: ProcessIdentifier;
  readonly request: RequestIdentifier;
}

/** The attempts at one sidecar. */
export class RunTable {
  readonly #options: RunTableOptions;
  readonly #runs = new Map<string, GuardedRun>();
  readonly #settled = new ExpiringMap<string, TaskSettlement>({
    horizonMilliseconds: SETTLEMENT_HORIZON_MILLISECONDS,
    maximumWeight: MAXIMUM_SETTLEMENTS,
    weigh: () => 1,
  });
  #used: Resources = NO_RESOURCES;
  #revision = 0;

  constructor(options: RunTableOptions) {
    this.#options = options;
  }

  /** Resources of all that was accepted: what runs, may run or is being stopped, and what will start. */
  get used(): Resources {
    return this.#used;
  }

  /** Rises with each change of what runs or waits. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of attempts. */
  get size(): number {
    return this.#runs.size;
  }

  /** All attempts. */
  all(): readonly GuardedRun[] {
    return [...this.#runs.values()];
  }

  /** Attempts that the worker was told of. */
  atWorker(): readonly GuardedRun[] {
    return this.all().filter(({ state }) => state.phase !== RunPhase.Waiting);
  }

  /** Finds the attempt at a task. */
  find(task: JobTaskReference): GuardedRun | undefined {
    return this.#runs.get(jobTaskKey(task));
  }

  /** Notes that something else changed that the load tells. */
  touch(): void {
    this.#revision += 1;
  }

  /** Takes a new attempt, for which there is room. */
  add(waiter: RunWaiter, message: RunTask): GuardedRun {
    const { session, task, attempt, content, resources } = message;
    const run: GuardedRun = {
      task,
      attempt,
      entry: waiter.from,
      session,
      content,
      resources,
      expectedMilliseconds: message.expectedMilliseconds,
      request: waiter.request,
      state: { phase: RunPhase.Waiting },
    };
    this.#runs.set(jobTaskKey(task), run);
    this.#used = addResources(this.#used, resources);
    this.touch();
    return run;
  }

  /** An attempt that the worker was not told of yet. */
  nextToStart(): GuardedRun | undefined {
    return this.all().find(({ state }) => state.phase === RunPhase.Waiting);
  }

  /** Whether a worker of this capacity has room beside all that was accepted. */
  hasRoom(capacity: Resources, resources: Resources): boolean {
    return isWithin(resources, subtractResources(capacity, this.#used));
  }

  /** Ends an attempt, frees its resources and tells its entry. */
  settle(run: GuardedRun, settlement: TaskSettlement): void {
    this.#runs.delete(jobTaskKey(run.task));
    this.#used = subtractResources(this.#used, run.resources);
    this.touch();
    const { collector } = this.#options;
    const key = settlementKey(run.entry, run.task, run.attempt);
    this.#settled.set(collector.now, key, settlement);
    this.reply({ from: run.entry, request: run.request }, settlement);
  }

  /** The settlement of an attempt that ended a moment ago. */
  settlementOf(
    entry: ProcessIdentifier,
    { task, attempt }: RunTask,
  ): TaskSettlement | undefined {
    return this.#settled.get(settlementKey(entry, task, attempt));
  }

  /** Tells an entry how its attempt ended. */
  reply({ from, request }: RunWaiter, settlement: TaskSettlement): void {
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
  task: JobTaskReference,
  attempt: number,
): string {
  return `${entry} ${jobTaskKey(task)} ${attempt}`;
}

/** The most telling word for a settlement. */
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
