/**
 * The runners that an owner may place tasks on, with the load that their answers carried. No probe is
 * sent: a runner's own answer says how busy it is, and placements since then are counted here.
 */
import type {
  BackendServerDescription,
  Milliseconds,
  ProcessIdentifier,
  Requirements,
  RunnerLoad,
} from "@eelgrassfront/model";

/** A runner as the pool knows it. */
export interface KnownRunner {
  readonly process: ProcessIdentifier;
  readonly address: string;
  readonly backendServer: BackendServerDescription;
}

/** What a task needs of a runner. */
export interface PlacementNeed {
  readonly service: string;
  readonly requirements: Requirements;
}

/** Rules of the pool that the owner supplies. */
export interface RunnerPoolOptions {
  /** Whether a runner may be given work now. */
  readonly isAvailable: (process: ProcessIdentifier) => boolean;
  /** Numbers from 0 up to 1 that break ties. */
  readonly random: () => number;
  /** Tasks beyond its slots that one owner lets wait at a runner. */
  readonly waitingPerRunner: number;
}

interface Pooled {
  readonly runner: KnownRunner;
  /** Tasks placed by this owner that have not been answered. */
  inFlight: number;
  /** Tasks of others at the runner when it last answered. */
  others: number;
  isLeaving: boolean;
  expectedWaitMilliseconds: Milliseconds;
}

/** Known runners and their load. */
export class RunnerPool {
  readonly #options: RunnerPoolOptions;
  readonly #pooled = new Map<ProcessIdentifier, Pooled>();

  constructor(options: RunnerPoolOptions) {
    this.#options = options;
  }

  /** Number of known runners. */
  get size(): number {
    return this.#pooled.size;
  }

  /** Adds a runner that announced itself. */
  add(runner: KnownRunner): void {
    if (this.#pooled.has(runner.process)) return;
    this.#pooled.set(runner.process, {
      runner,
      inFlight: 0,
      others: 0,
      isLeaving: false,
      expectedWaitMilliseconds: 0,
    });
  }

  /** Removes a runner that departed. */
  remove(process: ProcessIdentifier): void {
    this.#pooled.delete(process);
  }

  /** Finds a runner. */
  find(process: ProcessIdentifier): KnownRunner | undefined {
    return this.#pooled.get(process)?.runner;
  }

  /** Whether any known runner could ever run such a task. */
  isAnyCapable(need: PlacementNeed): boolean {
    for (const { runner } of this.#pooled.values()) {
      if (isCapable(runner, need)) return true;
    }
    return false;
  }

  /** Slots of all runners that may be given work. */
  availableSlots(): number {
    let slots = 0;
    for (const pooled of this.#pooled.values()) {
      if (this.#isOpen(pooled)) slots += pooled.runner.backendServer.slots;
    }
    return slots;
  }

  /** Chooses a runner for a task, or undefined when the task should wait at the owner. */
  choose(need: PlacementNeed): KnownRunner | undefined {
    let best: Pooled | undefined;
    let bestScore = Infinity;
    for (const pooled of this.#pooled.values()) {
      if (!this.#hasRoom(pooled) || !isCapable(pooled.runner, need)) continue;
      const score = occupancyOf(pooled) + this.#options.random() / 1_000;
      if (score >= bestScore) continue;
      best = pooled;
      bestScore = score;
    }
    return best?.runner;
  }

  /** Counts a placement. */
  place(process: ProcessIdentifier): void {
    const pooled = this.#pooled.get(process);
    if (pooled !== undefined) pooled.inFlight += 1;
  }

  /** Counts the end of a placement, with the load that the answer carried, if one came. */
  release(process: ProcessIdentifier, load?: RunnerLoad): void {
    const pooled = this.#pooled.get(process);
    if (pooled === undefined) return;
    pooled.inFlight = Math.max(0, pooled.inFlight - 1);
    if (load === undefined) return;
    const present = load.running + load.queued;
    pooled.others = Math.max(0, present - pooled.inFlight);
    pooled.isLeaving = load.isLeaving;
    pooled.expectedWaitMilliseconds = load.expectedWaitMilliseconds;
  }

  #isOpen(pooled: Pooled): boolean {
    return !pooled.isLeaving &&
      this.#options.isAvailable(pooled.runner.process);
  }

  #hasRoom(pooled: Pooled): boolean {
    const room = pooled.runner.backendServer.slots +
      this.#options.waitingPerRunner;
    return pooled.inFlight < room && this.#isOpen(pooled);
  }
}

function occupancyOf(pooled: Pooled): number {
  return (pooled.inFlight + pooled.others) / pooled.runner.backendServer.slots;
}

function isCapable(runner: KnownRunner, need: PlacementNeed): boolean {
  const offered = runner.backendServer;
  const needed = need.requirements;
  return offered.service === need.service && offered.slots > 0 &&
    offered.processorCores >= needed.processorCores &&
    offered.memoryMegabytes >= needed.memoryMegabytes &&
    offered.accelerators >= needed.accelerators;
}
