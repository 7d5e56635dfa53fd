/**
 * The runners that an owner may place tasks on, with the load that their answers carried. No probe is
 * sent: a runner's own answer says how busy it is, and placements since then are counted here.
 */
import {
  type BackendServerDescription,
  type Milliseconds,
  NoFreeSlotPolicy,
  type ProcessIdentifier,
  type Requirements,
  type RunnerLoad,
} from "@eelgrassfront/model";
import { OutlierDetector } from "./outlier_detector.ts";
import {
  type PlacementPolicy,
  PlacementPolicyKind,
} from "./placement_policy.ts";
import { type OwnerWeight, quotaOf } from "./slot_quota.ts";

/** A runner as the pool knows it. */
export interface KnownRunner {
  readonly process: ProcessIdentifier;
  readonly address: string;
  readonly backendServer: BackendServerDescription;
}

/** What a task can run on. */
export interface RunnerRequirements {
  readonly service: string;
  readonly requirements: Requirements;
}

/** What a task needs of a runner. */
export interface PlacementRequest extends RunnerRequirements {
  /** Tasks of the submission, all of which are lost with this one. */
  readonly submissionTasks: number;
  /** Whether the submission has received no service yet; such a task may take the last free slot. */
  readonly isSubmissionUnserved: boolean;
}

/** Rules of the pool that the owner supplies. */
export interface RunnerPoolOptions {
  readonly policy: PlacementPolicy;
  /** Whether a runner may be given work now. */
  readonly isAvailable: (process: ProcessIdentifier) => boolean;
  /** Numbers from 0 up to 1 that break ties. */
  readonly random: () => number;
  readonly now: () => Milliseconds;
}

/** A runner chosen for a task. */
export interface PlacementChoice {
  readonly runner: KnownRunner;
  readonly claim: NoFreeSlotPolicy;
}

/** How a placement ended, as far as it tells about its runner. */
export enum PlacementOutcome {
  Succeeded = "succeeded",
  Failed = "failed",
  /** Says nothing about the health of the backend server. */
  Neutral = "neutral",
}

interface Pooled {
  readonly runner: KnownRunner;
  readonly failures: OutlierDetector;
  /** Slots that belong to this owner. */
  quota: number;
  /** Tasks placed by this owner that have not been answered. */
  inFlight: number;
  /** Tasks of others at the runner when it last answered. */
  others: number;
  /** When the runner last told its load. */
  loadNotedAt: Milliseconds;
  isLeaving: boolean;
}

type TaskStanding = Pick<
  PlacementRequest,
  "isSubmissionUnserved" | "submissionTasks"
>;

/** The task that finds room wherever any task does. */
const EASIEST_TASK: TaskStanding = {
  isSubmissionUnserved: true,
  submissionTasks: 1,
};
/** Runners without quota that are considered for one task. */
const MAXIMUM_FOREIGN = 16;
/** Free slots that a borrower leaves at a runner, unless its submission has received nothing yet. */
const RESERVED_SLOTS = 1;
/** Age of a load by which one more slot is left. */
const LOAD_AGE_PER_SLOT_MILLISECONDS: Milliseconds = 50;

/** Known runners and their load. */
export class RunnerPool {
  readonly #options: RunnerPoolOptions;
  readonly #pooled = new Map<ProcessIdentifier, Pooled>();
  /** Runners with slots of this owner's quota, and the others, from which it may borrow. */
  #own: readonly Pooled[] = [];
  #foreign: readonly Pooled[] = [];
  #lastTurn = 0;
  #lastForeign = 0;

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
      failures: new OutlierDetector(),
      quota: runner.backendServer.slots,
      inFlight: 0,
      others: 0,
      loadNotedAt: 0,
      isLeaving: false,
    });
    this.#sortByQuota();
  }

  /** Removes a runner that departed. */
  remove(process: ProcessIdentifier): void {
    this.#pooled.delete(process);
    this.#sortByQuota();
  }

  /** Finds a runner. */
  find(process: ProcessIdentifier): KnownRunner | undefined {
    return this.#pooled.get(process)?.runner;
  }

  /** Divides the slots of all runners among the owners. */
  divideSlots(
    self: ProcessIdentifier,
    owners: readonly OwnerWeight[],
  ): void {
    let rank = 0;
    for (const pooled of this.#pooled.values()) {
      const { process, backendServer: { slots } } = pooled.runner;
      pooled.quota = quotaOf(self, { runner: process, rank, slots, owners });
      rank += 1;
    }
    this.#sortByQuota();
  }

  /** Whether any runner may be given work now. */
  isAnyRunnerAvailable(): boolean {
    for (const pooled of this.#pooled.values()) {
      if (this.#isOpen(pooled)) return true;
    }
    return false;
  }

  /** Whether any known runner could ever run such a task. */
  isAnyRunnerCapable(need: RunnerRequirements): boolean {
    for (const { runner } of this.#pooled.values()) {
      if (isCapable(runner, need)) return true;
    }
    return false;
  }

  /** Slots of a service that belong to this owner at runners that may be given work. */
  quotaSlots(service: string): number {
    let slots = 0;
    for (const pooled of this.#pooled.values()) {
      const isCounted = pooled.runner.backendServer.service === service &&
        this.#isOpen(pooled);
      if (isCounted) slots += pooled.quota;
    }
    return slots;
  }

  /** Whether a task of this service without special needs could be placed now. */
  hasRoom(service: string): boolean {
    for (const pooled of this.#considered()) {
      const isInService = pooled.runner.backendServer.service === service;
      if (isInService && this.#hasRoom(pooled, EASIEST_TASK)) return true;
    }
    return false;
  }

  /** Chooses a runner for a task, or undefined when the task should wait at the owner. */
  choose(need: PlacementRequest): PlacementChoice | undefined {
    const candidates = this.#candidates(need);
    const { policy } = this.#options;
    switch (policy.kind) {
      case PlacementPolicyKind.SlotQuota:
        return this.#chooseByQuota(candidates, need.isSubmissionUnserved);
      case PlacementPolicyKind.LeastLoaded:
        return mayWait(
          this.#best(candidates, (pooled) => -occupancyOf(pooled)),
        );
      case PlacementPolicyKind.RoundRobin:
        this.#lastTurn += 1;
        return mayWait(candidates[this.#lastTurn % candidates.length]);
      case PlacementPolicyKind.Random: {
        const index = Math.floor(this.#options.random() * candidates.length);
        return mayWait(candidates[index]);
      }
    }
  }

  /** Counts a placement. */
  recordPlacement(process: ProcessIdentifier): void {
    const pooled = this.#pooled.get(process);
    if (pooled !== undefined) pooled.inFlight += 1;
  }

  /** Counts the end of a placement. */
  release(process: ProcessIdentifier, end: PlacementOutcome): void {
    const pooled = this.#pooled.get(process);
    if (pooled === undefined) return;
    pooled.inFlight = Math.max(0, pooled.inFlight - 1);
    switch (end) {
      case PlacementOutcome.Succeeded:
        pooled.failures.recordSuccess();
        return;
      case PlacementOutcome.Failed:
        pooled.failures.recordFailure(this.#options.now());
        return;
      case PlacementOutcome.Neutral:
        return;
    }
  }

  /** Takes the load that a runner told. */
  recordLoad(process: ProcessIdentifier, load: RunnerLoad): void {
    const pooled = this.#pooled.get(process);
    if (pooled === undefined) return;
    const present = load.running + load.queued;
    pooled.others = Math.max(0, present - pooled.inFlight);
    pooled.isLeaving = load.isLeaving;
    pooled.loadNotedAt = this.#options.now();
  }

  #sortByQuota(): void {
    const all = [...this.#pooled.values()];
    this.#own = all.filter(({ quota }) => quota > 0);
    this.#foreign = all.filter(({ quota }) => quota === 0);
  }

  /** The runners with quota, and a few of the others in turn, so that the cost does not grow with the fleet. */
  #considered(): readonly Pooled[] {
    const foreign = this.#foreign;
    if (foreign.length <= MAXIMUM_FOREIGN) return [...this.#own, ...foreign];
    const start = this.#lastForeign % foreign.length;
    return [
      ...this.#own,
      ...foreign.slice(start, start + MAXIMUM_FOREIGN),
    ];
  }

  #candidates(need: PlacementRequest): readonly Pooled[] {
    const candidates: Pooled[] = [];
    for (const pooled of this.#considered()) {
      if (!this.#hasRoom(pooled, need)) continue;
      if (isCapable(pooled.runner, need)) candidates.push(pooled);
    }
    return candidates;
  }

  #chooseByQuota(
    candidates: readonly Pooled[],
    isFirst: boolean,
  ): PlacementChoice | undefined {
    const likelyFree = (pooled: Pooled) => this.#likelyFreeSlots(pooled);
    const own = this.#best(
      candidates.filter((pooled) =>
        hasQuotaLeft(pooled) && freeSlotsOf(pooled) > 0
      ),
      likelyFree,
    );
    if (own !== undefined) {
      const claim = isFirst ? NoFreeSlotPolicy.Refuse : NoFreeSlotPolicy.Wait;
      return { runner: own.runner, claim };
    }
    this.#lastForeign += 1;
    const foreign = this.#best(
      candidates.filter((pooled) => !hasQuotaLeft(pooled)),
      likelyFree,
    );
    if (foreign !== undefined) {
      return { runner: foreign.runner, claim: NoFreeSlotPolicy.Refuse };
    }
    return mayWait(this.#best(candidates, likelyFree));
  }

  #best(
    candidates: readonly Pooled[],
    score: (pooled: Pooled) => number,
  ): Pooled | undefined {
    let best: Pooled | undefined;
    let bestScore = -Infinity;
    for (const pooled of candidates) {
      const pooledScore = score(pooled) + this.#options.random() / 1_000;
      if (pooledScore <= bestScore) continue;
      best = pooled;
      bestScore = pooledScore;
    }
    return best;
  }

  #isOpen(pooled: Pooled): boolean {
    return !pooled.isLeaving &&
      this.#options.isAvailable(pooled.runner.process);
  }

  #hasRoom(pooled: Pooled, task: TaskStanding): boolean {
    return this.#isWithinWindow(pooled, task.isSubmissionUnserved) &&
      this.#isOpen(pooled) && this.#isHealthy(pooled, task);
  }

  #isWithinWindow(pooled: Pooled, isFirst: boolean): boolean {
    const { policy } = this.#options;
    switch (policy.kind) {
      case PlacementPolicyKind.SlotQuota: {
        if (pooled.inFlight < pooled.quota) return true;
        const reserved = isFirst ? 0 : RESERVED_SLOTS;
        return this.#likelyFreeSlots(pooled) > reserved;
      }
      case PlacementPolicyKind.LeastLoaded:
        return pooled.inFlight <
          pooled.runner.backendServer.slots + policy.waitingPerRunner;
      case PlacementPolicyKind.RoundRobin:
      case PlacementPolicyKind.Random:
        return true;
    }
  }

  /** The older the load that a runner told, the more of its free slots may be taken by now. */
  #likelyFreeSlots(pooled: Pooled): number {
    const age = this.#options.now() - pooled.loadNotedAt;
    return freeSlotsOf(pooled) - age / LOAD_AGE_PER_SLOT_MILLISECONDS;
  }

  #isHealthy(pooled: Pooled, task: TaskStanding): boolean {
    const { failures } = pooled;
    switch (this.#options.policy.kind) {
      case PlacementPolicyKind.SlotQuota:
        if (!failures.isOutlier(this.#meanPeerRate(pooled))) return true;
        return pooled.inFlight === 0 &&
          failures.isProbeTaskDue(this.#options.now(), task.submissionTasks);
      case PlacementPolicyKind.LeastLoaded:
      case PlacementPolicyKind.RoundRobin:
      case PlacementPolicyKind.Random:
        return true;
    }
  }

  #meanPeerRate(pooled: Pooled): number {
    if (pooled.failures.failureRate === 0 || this.#pooled.size < 2) return 0;
    let sum = 0;
    for (const peer of this.#pooled.values()) {
      if (peer !== pooled) sum += peer.failures.failureRate;
    }
    return sum / (this.#pooled.size - 1);
  }
}

function hasQuotaLeft({ inFlight, quota }: Pooled): boolean {
  return inFlight < quota;
}

function mayWait(pooled: Pooled | undefined): PlacementChoice | undefined {
  return pooled === undefined
    ? undefined
    : { runner: pooled.runner, claim: NoFreeSlotPolicy.Wait };
}

function freeSlotsOf({ runner, inFlight, others }: Pooled): number {
  return runner.backendServer.slots - inFlight - others;
}

function occupancyOf(pooled: Pooled): number {
  return (pooled.inFlight + pooled.others) / pooled.runner.backendServer.slots;
}

function isCapable(
  runner: KnownRunner,
  need: RunnerRequirements,
): boolean {
  const offered = runner.backendServer;
  const needed = need.requirements;
  return offered.service === need.service && offered.slots > 0 &&
    offered.processorCores >= needed.processorCores &&
    offered.memoryMegabytes >= needed.memoryMegabytes &&
    offered.accelerators >= needed.accelerators;
}
