/**
 * Pool of the runners at which an owner may place tasks, with their load. The pool sends no load queries:
 * each reply of a runner carries its load, and the pool counts its own placements since then.
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

/** Identity of a runner and description of its backend server. */
export interface KnownRunner {
  readonly process: ProcessIdentifier;
  readonly address: string;
  readonly backendServer: BackendServerDescription;
}

/** Service and resources that a task requires. */
export interface RunnerRequirements {
  readonly service: string;
  readonly requirements: Requirements;
}

/** A task that is to be placed. */
export interface PlacementRequest extends RunnerRequirements {
  /** Number of tasks of the submission, which fails as a whole if this task fails. */
  readonly submissionTasks: number;
  /** Whether the submission has received no service yet; its task may then take the last free slot. */
  readonly isSubmissionUnserved: boolean;
}

/** Policy of the pool, with the owner's clock and its view of the fleet. */
export interface RunnerPoolOptions {
  readonly policy: PlacementPolicy;
  /** Returns whether a runner may get tasks now. */
  readonly isAvailable: (process: ProcessIdentifier) => boolean;
  /** Returns a number from 0 up to 1, for breaking ties. */
  readonly random: () => number;
  readonly now: () => Milliseconds;
}

/** The runner chosen for a task, and what the runner does with the task when no slot is free. */
export interface PlacementChoice {
  readonly runner: KnownRunner;
  readonly noFreeSlotPolicy: NoFreeSlotPolicy;
}

/** Result of a placement as evidence of the health of its runner. */
export enum PlacementOutcome {
  Succeeded = "succeeded",
  Failed = "failed",
  /** No evidence of the health of the backend server. */
  Neutral = "neutral",
}

interface PooledRunner {
  readonly runner: KnownRunner;
  readonly detector: OutlierDetector;
  /** Number of the runner's slots that belong to this owner's quota. */
  quota: number;
  /** Number of unanswered tasks that this owner placed at the runner. */
  inFlight: number;
  /** Number of tasks of other owners at the runner when it last replied. */
  otherOwnersTasks: number;
  /** Time at which the runner last reported its load. */
  loadReportedAt: Milliseconds;
  isLeaving: boolean;
}

type SubmissionProgress = Pick<
  PlacementRequest,
  "isSubmissionUnserved" | "submissionTasks"
>;

/** Progress of a submission whose task can be placed if any task can. */
const EASIEST_TASK: SubmissionProgress = {
  isSubmissionUnserved: true,
  submissionTasks: 1,
};
/** Maximum number of runners without quota that are considered for one task. */
const MAXIMUM_OTHERS = 16;
/** Free slots that a borrowing owner leaves at a runner, unless the submission has received no service. */
const RESERVED_SLOTS = 1;
/** For each such time since a load report, one more of the reported free slots is assumed to be taken. */
const LOAD_AGE_PER_SLOT_MILLISECONDS: Milliseconds = 50;

/** Chooses runners for the tasks of one owner. */
export class RunnerPool {
  readonly #options: RunnerPoolOptions;
  readonly #pooled = new Map<ProcessIdentifier, PooledRunner>();
  /** Runners at which this owner has quota; the remaining runners may lend it free slots. */
  #withQuota: readonly PooledRunner[] = [];
  #withoutQuota: readonly PooledRunner[] = [];
  #lastTurn = 0;
  #otherRotation = 0;

  constructor(options: RunnerPoolOptions) {
    this.#options = options;
  }

  /** Number of known runners. */
  get size(): number {
    return this.#pooled.size;
  }

  /** Adds a runner that joined the fleet. */
  add(runner: KnownRunner): void {
    if (this.#pooled.has(runner.process)) return;
    this.#pooled.set(runner.process, {
      runner,
      detector: new OutlierDetector(),
      quota: runner.backendServer.slots,
      inFlight: 0,
      otherOwnersTasks: 0,
      loadReportedAt: 0,
      isLeaving: false,
    });
    this.#partitionByQuota();
  }

  /** Removes a runner that departed. */
  remove(process: ProcessIdentifier): void {
    this.#pooled.delete(process);
    this.#partitionByQuota();
  }

  /** Returns a known runner. */
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
    this.#partitionByQuota();
  }

  /** Returns whether any runner may get tasks now. */
  isAnyRunnerAvailable(): boolean {
    for (const pooled of this.#pooled.values()) {
      if (this.#isAvailable(pooled)) return true;
    }
    return false;
  }

  /** Returns whether any known runner could ever run such a task. */
  isAnyRunnerCapable(required: RunnerRequirements): boolean {
    for (const { runner } of this.#pooled.values()) {
      if (isCapable(runner, required)) return true;
    }
    return false;
  }

  /** Returns this owner's quota of a service at runners that may get tasks, in slots. */
  quotaSlots(service: string): number {
    let slots = 0;
    for (const pooled of this.#pooled.values()) {
      const isCounted = pooled.runner.backendServer.service === service &&
        this.#isAvailable(pooled);
      if (isCounted) slots += pooled.quota;
    }
    return slots;
  }

  /** Returns whether a task of a service without special requirements could be placed now. */
  canPlaceTask(service: string): boolean {
    for (const pooled of this.#consideredRunners()) {
      const isInService = pooled.runner.backendServer.service === service;
      if (isInService && this.#canTakeTask(pooled, EASIEST_TASK)) return true;
    }
    return false;
  }

  /** Chooses a runner for a task, or returns undefined when the task should wait at the owner. */
  choose(request: PlacementRequest): PlacementChoice | undefined {
    const candidates = this.#candidates(request);
    const { policy } = this.#options;
    switch (policy.kind) {
      case PlacementPolicyKind.SlotQuota:
        return this.#chooseByQuota(candidates, request.isSubmissionUnserved);
      case PlacementPolicyKind.LeastLoaded:
        return waitingChoice(
          this.#best(candidates, (pooled) => -occupancyOf(pooled)),
        );
      case PlacementPolicyKind.RoundRobin:
        this.#lastTurn += 1;
        return waitingChoice(candidates[this.#lastTurn % candidates.length]);
      case PlacementPolicyKind.Random: {
        const index = Math.floor(this.#options.random() * candidates.length);
        return waitingChoice(candidates[index]);
      }
    }
  }

  /** Counts a task placed at a runner. */
  recordPlacement(process: ProcessIdentifier): void {
    const pooled = this.#pooled.get(process);
    if (pooled !== undefined) pooled.inFlight += 1;
  }

  /** Counts the end of a placement and its evidence of the runner's health. */
  release(process: ProcessIdentifier, outcome: PlacementOutcome): void {
    const pooled = this.#pooled.get(process);
    if (pooled === undefined) return;
    pooled.inFlight = Math.max(0, pooled.inFlight - 1);
    switch (outcome) {
      case PlacementOutcome.Succeeded:
        pooled.detector.recordSuccess();
        return;
      case PlacementOutcome.Failed:
        pooled.detector.recordFailure(this.#options.now());
        return;
      case PlacementOutcome.Neutral:
        return;
    }
  }

  /** Records the load that a runner reported. */
  recordLoad(process: ProcessIdentifier, load: RunnerLoad): void {
    const pooled = this.#pooled.get(process);
    if (pooled === undefined) return;
    const present = load.running + load.queued;
    pooled.otherOwnersTasks = Math.max(0, present - pooled.inFlight);
    pooled.isLeaving = load.isLeaving;
    pooled.loadReportedAt = this.#options.now();
  }

  #partitionByQuota(): void {
    const all = [...this.#pooled.values()];
    this.#withQuota = all.filter(({ quota }) => quota > 0);
    this.#withoutQuota = all.filter(({ quota }) => quota === 0);
  }

  /** Returns the runners with quota and a rotating few of the others, to bound the cost in a large fleet. */
  #consideredRunners(): readonly PooledRunner[] {
    const others = this.#withoutQuota;
    if (others.length <= MAXIMUM_OTHERS) return [...this.#withQuota, ...others];
    const start = this.#otherRotation % others.length;
    return [
      ...this.#withQuota,
      ...others.slice(start, start + MAXIMUM_OTHERS),
    ];
  }

  #candidates(request: PlacementRequest): readonly PooledRunner[] {
    const candidates: PooledRunner[] = [];
    for (const pooled of this.#consideredRunners()) {
      if (!this.#canTakeTask(pooled, request)) continue;
      if (isCapable(pooled.runner, request)) candidates.push(pooled);
    }
    return candidates;
  }

  #chooseByQuota(
    candidates: readonly PooledRunner[],
    isSubmissionUnserved: boolean,
  ): PlacementChoice | undefined {
    const likelyFree = (pooled: PooledRunner) => this.#likelyFreeSlots(pooled);
    const own = this.#best(
      candidates.filter((pooled) =>
        hasQuotaLeft(pooled) && freeSlotsOf(pooled) > 0
      ),
      likelyFree,
    );
    if (own !== undefined) {
      const noFreeSlotPolicy = isSubmissionUnserved
        ? NoFreeSlotPolicy.Refuse
        : NoFreeSlotPolicy.Wait;
      return { runner: own.runner, noFreeSlotPolicy };
    }
    this.#otherRotation += 1;
    const borrowed = this.#best(
      candidates.filter((pooled) => !hasQuotaLeft(pooled)),
      likelyFree,
    );
    if (borrowed !== undefined) {
      return {
        runner: borrowed.runner,
        noFreeSlotPolicy: NoFreeSlotPolicy.Refuse,
      };
    }
    return waitingChoice(this.#best(candidates, likelyFree));
  }

  #best(
    candidates: readonly PooledRunner[],
    score: (pooled: PooledRunner) => number,
  ): PooledRunner | undefined {
    let best: PooledRunner | undefined;
    let bestScore = -Infinity;
    for (const pooled of candidates) {
      const pooledScore = score(pooled) + this.#options.random() / 1_000;
      if (pooledScore <= bestScore) continue;
      best = pooled;
      bestScore = pooledScore;
    }
    return best;
  }

  #isAvailable(pooled: PooledRunner): boolean {
    return !pooled.isLeaving &&
      this.#options.isAvailable(pooled.runner.process);
  }

  #canTakeTask(pooled: PooledRunner, task: SubmissionProgress): boolean {
    return this.#isWithinWindow(pooled, task.isSubmissionUnserved) &&
      this.#isAvailable(pooled) && this.#isHealthy(pooled, task);
  }

  #isWithinWindow(
    pooled: PooledRunner,
    isSubmissionUnserved: boolean,
  ): boolean {
    const { policy } = this.#options;
    switch (policy.kind) {
      case PlacementPolicyKind.SlotQuota: {
        if (pooled.inFlight < pooled.quota) return true;
        const reserved = isSubmissionUnserved ? 0 : RESERVED_SLOTS;
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

  /** Estimates the free slots of a runner: the older its reported load, the more slots may be taken by now. */
  #likelyFreeSlots(pooled: PooledRunner): number {
    const age = this.#options.now() - pooled.loadReportedAt;
    return freeSlotsOf(pooled) - age / LOAD_AGE_PER_SLOT_MILLISECONDS;
  }

  #isHealthy(pooled: PooledRunner, task: SubmissionProgress): boolean {
    const { detector } = pooled;
    switch (this.#options.policy.kind) {
      case PlacementPolicyKind.SlotQuota:
        if (!detector.isOutlier(this.#meanPeerRate(pooled))) return true;
        return pooled.inFlight === 0 &&
          detector.isProbeTaskDue(this.#options.now(), task.submissionTasks);
      case PlacementPolicyKind.LeastLoaded:
      case PlacementPolicyKind.RoundRobin:
      case PlacementPolicyKind.Random:
        return true;
    }
  }

  #meanPeerRate(pooled: PooledRunner): number {
    if (pooled.detector.failureRate === 0 || this.#pooled.size < 2) return 0;
    let sum = 0;
    for (const peer of this.#pooled.values()) {
      if (peer !== pooled) sum += peer.detector.failureRate;
    }
    return sum / (this.#pooled.size - 1);
  }
}

function hasQuotaLeft({ inFlight, quota }: PooledRunner): boolean {
  return inFlight < quota;
}

function waitingChoice(
  pooled: PooledRunner | undefined,
): PlacementChoice | undefined {
  return pooled === undefined
    ? undefined
    : { runner: pooled.runner, noFreeSlotPolicy: NoFreeSlotPolicy.Wait };
}

function freeSlotsOf(
  { runner, inFlight, otherOwnersTasks }: PooledRunner,
): number {
  return runner.backendServer.slots - inFlight - otherOwnersTasks;
}

function occupancyOf(pooled: PooledRunner): number {
  return (pooled.inFlight + pooled.otherOwnersTasks) /
    pooled.runner.backendServer.slots;
}

function isCapable(
  runner: KnownRunner,
  required: RunnerRequirements,
): boolean {
  const offered = runner.backendServer;
  const needed = required.requirements;
  return offered.service === required.service && offered.slots > 0 &&
    offered.processorCores >= needed.processorCores &&
    offered.memoryMegabytes >= needed.memoryMegabytes &&
    offered.accelerators >= needed.accelerators;
}
