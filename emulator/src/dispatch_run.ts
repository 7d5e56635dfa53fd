/**
 * A randomised run of best-effort work: clients that submit jobs, disconnect and resubmit, and overlapping
 * faults of every kind, all drawn from one seed.
 */
import {
  type ClientAnswer,
  ClientAnswerKind,
  type DispatchInput,
  type DispatchOutput,
  InputKind,
  type Milliseconds,
  type ProcessEvent,
  type ProcessIdentifier,
  type Role,
  type StateMachine,
  WorkerPhase,
} from "@eelgrassfront/model";
import {
  CLIENT_WAIT_MILLISECONDS,
  DispatchClients,
} from "./dispatch_clients.ts";
import {
  DispatchChecker,
  DispatchRule,
  type DispatchViolation,
} from "./dispatch_checker.ts";
import {
  Disruption,
  disruptionRandom,
  DisruptionSchedule,
} from "./dispatch_disruptions.ts";
import { DispatchSystem } from "./dispatch_system.ts";
import type { DispatchVm, FleetSize } from "./dispatch_vm.ts";
import { NO_NETWORK_FAULTS } from "./fake_network.ts";
import { NO_WORKER_FAULTS, type WorkerFaults } from "./fake_worker.ts";
import {
  bodyOf,
  PLANNED_WORK_CONFIGURATION,
  type PlannedJob,
  targetOf,
} from "./planned_job.ts";
import { SeededRandom } from "./seeded_random.ts";
import { ProcessState } from "./virtual_process.ts";

/** Options of a run; only the seed is required. */
export interface DispatchRunOptions {
  readonly seed: number;
  /** Three entries and four workers by default. */
  readonly fleet?: FleetSize;
  /** Disruptions that are added to the faults of every run; none by default. */
  readonly disruptions?: readonly Disruption[];
  /** Whether the faults of every run are left out. */
  readonly onlyDisruptions?: boolean;
  readonly onEvent?: (process: ProcessIdentifier, event: ProcessEvent) => void;
  readonly wrapDecisions?: (
    role: Role,
    machine: StateMachine<DispatchInput, DispatchOutput>,
  ) => StateMachine<DispatchInput, DispatchOutput>;
}

/** Result of a run. */
export interface DispatchRunReport {
  readonly seed: number;
  readonly violations: readonly DispatchViolation[];
  readonly starts: number;
  readonly answers: ReadonlyMap<string, number>;
}

const SMALL_FLEET: FleetSize = { entries: 3, workers: 4, zones: 1 };
const START_MILLISECONDS: Milliseconds = 3_000;
const FAULTS_END_MILLISECONDS: Milliseconds = 15_000;
const DRAINS_END_MILLISECONDS: Milliseconds = 22_500;
const LAST_JOB_MILLISECONDS: Milliseconds = 20_000;
const RECOVERY_CHECK_MILLISECONDS: Milliseconds = 24_000;
const END_MILLISECONDS: Milliseconds = 32_000;
const MAXIMUM_TRIES = 4;
const MAXIMUM_FAULTS = 10;
const CAPACITY_MILLICORES = 8_000;
const SLOWDOWN_PROBABILITY = 0.4;
const SLOWDOWN_SEED_OFFSET = 3_000_017;

/** Runs one seed and checks the result. */
export function runDispatch(options: DispatchRunOptions): DispatchRunReport {
  return new DispatchRun(options).run();
}

class DispatchRun {
  readonly #seed: number;
  readonly #random: SeededRandom;
  readonly #checker: DispatchChecker;
  readonly #system: DispatchSystem;
  readonly #disruptions: readonly Disruption[];
  readonly #onlyDisruptions: boolean;
  readonly #taskRandom: SeededRandom;
  readonly #clients: DispatchClients;
  #jobs = 0;

  constructor(
    {
      seed,
      fleet = SMALL_FLEET,
      disruptions = [],
      onlyDisruptions = false,
      onEvent,
      wrapDecisions,
    }: DispatchRunOptions,
  ) {
    this.#seed = seed;
    this.#disruptions = disruptions;
    this.#onlyDisruptions = onlyDisruptions;
    this.#taskRandom = disruptionRandom(seed, Disruption.LongTasks);
    this.#random = new SeededRandom(seed + 1_000_003);
    this.#checker = new DispatchChecker(() => this.#system.time);
    this.#system = new DispatchSystem({
      seed,
      fleet,
      capacityMillicores: CAPACITY_MILLICORES,
      observer: this.#checker,
      runMilliseconds: Number,
      ...(onEvent === undefined ? {} : { onEvent }),
      ...(wrapDecisions === undefined ? {} : { wrapDecisions }),
    });
    this.#clients = new DispatchClients({
      system: this.#system,
      checker: this.#checker,
      random: this.#random,
      seed,
      disruptions,
    });
  }

  run(): DispatchRunReport {
    const { time } = this.#system;
    this.#system.publish(PLANNED_WORK_CONFIGURATION);
    const gap = this.#random.pick([15, 40, 120]) ?? 40;
    for (let at = START_MILLISECONDS; at < LAST_JOB_MILLISECONDS; at += gap) {
      time.after(at + this.#random.between(0, gap), () => this.#submitJob());
    }
    const faults = 1 + this.#random.below(MAXIMUM_FAULTS);
    for (let index = 0; index < faults; index += 1) {
      const at = this.#random.between(1_000, FAULTS_END_MILLISECONDS - 5_000);
      time.after(at, () => {
        if (!this.#onlyDisruptions) this.#injectFault();
      });
    }
    if (!this.#onlyDisruptions) this.#scheduleSlowdown();
    const schedule = new DisruptionSchedule({
      system: this.#system,
      seed: this.#seed,
      from: START_MILLISECONDS,
      until: FAULTS_END_MILLISECONDS,
    });
    for (const kind of this.#disruptions) schedule.add(kind);
    if (this.#disruptions.length > 0) {
      time.after(DRAINS_END_MILLISECONDS, () => schedule.restartEnded());
    }
    time.after(FAULTS_END_MILLISECONDS, () => this.#endFaults());
    time.after(RECOVERY_CHECK_MILLISECONDS, () => this.#checkRecovery());
    this.#system.runUntil(END_MILLISECONDS);
    this.#checker.finish();
    return {
      seed: this.#seed,
      violations: this.#checker.violations,
      starts: this.#checker.starts,
      answers: this.#checker.answers,
    };
  }

  #submitJob(): void {
    this.#jobs += 1;
    const id = `job${this.#jobs}`;
    const millicores = 500 + this.#random.below(3_000);
    const runMilliseconds = this.#drawRunMilliseconds(
      this.#random.between(20, 900),
    );
    const isDisconnecting = this.#random.happens(0.05);
    this.#checker.trackJob(id, { millicores });
    this.#clients.send({
      id,
      millicores,
      runMilliseconds,
      tasks: 1 + this.#random.below(6),
      disconnectsAfter: isDisconnecting
        ? this.#random.between(1, 800)
        : undefined,
      remainingTries: MAXIMUM_TRIES,
    });
  }

  #drawRunMilliseconds(usual: Milliseconds): Milliseconds {
    const isLong = this.#disruptions.includes(Disruption.LongTasks) &&
      this.#taskRandom.happens(0.5);
    return isLong ? this.#taskRandom.between(900, 3_500) : usual;
  }

  #submit(
    entry: DispatchVm,
    job: PlannedJob,
    onAnswer: (answer: ClientAnswer) => void,
  ): number | undefined {
    return this.#system.submit(
      entry,
      targetOf(job),
      bodyOf(job),
      CLIENT_WAIT_MILLISECONDS,
      onAnswer,
    );
  }

  #injectFault(): void {
    const faults = [
      () => this.#killOne(this.#system.entries),
      () => this.#killOne(this.#system.sidecars),
      () => this.#killAll(),
      () => this.#pauseOne(this.#system.entries),
      () => this.#pauseOne(this.#system.sidecars),
      () => this.#cutPair(),
      () => this.#crashWorker(),
      () => this.#drainWorker(),
      () => this.#drainOne(this.#system.entries),
      () => this.#drainOne(this.#system.sidecars),
      () => this.#setWorkerFaults({ lostAnswers: 0.1 }),
      () => this.#setWorkerFaults({ delayedCalls: 0.1 }),
      () => this.#setWorkerFaults({ failures: 0.6 }),
      () => this.#setWorkerFaults({ hangs: 0.5 }),
      () => this.#dropMessages(),
      () => this.#makeStoreUnavailable(),
    ];
    this.#random.pick(faults)?.();
  }

  /** Makes one worker slow. Drawn from a generator of its own, so that the runs of older seeds stay the same. */
  #scheduleSlowdown(): void {
    const random = new SeededRandom(this.#seed + SLOWDOWN_SEED_OFFSET);
    if (!random.happens(SLOWDOWN_PROBABILITY)) return;
    const { time, sidecars } = this.#system;
    const at = random.between(START_MILLISECONDS, FAULTS_END_MILLISECONDS);
    const factor = random.pick([4, 8, Infinity]) ?? 1;
    const vm = random.pick(sidecars);
    time.after(at, () => this.#setSlowdown(vm, factor));
    time.after(FAULTS_END_MILLISECONDS, () => this.#setSlowdown(vm, 1));
  }

  #setSlowdown(vm: DispatchVm | undefined, factor: number): void {
    if (vm?.worker !== undefined) vm.worker.slowdown = factor;
  }

  #killOne(vms: readonly DispatchVm[]): void {
    const vm = this.#random.pick(vms);
    if (vm !== undefined) this.#kill(vm, this.#random.between(100, 3_000));
  }

  #killAll(): void {
    for (const vm of this.#allVms()) {
      this.#kill(vm, this.#random.between(400, 1_200));
    }
  }

  #kill(vm: DispatchVm, downMilliseconds: Milliseconds): void {
    if (vm.process.state === ProcessState.Ended) return;
    this.#system.kill(vm);
    this.#system.time.after(downMilliseconds, () => this.#restart(vm));
  }

  #restart(vm: DispatchVm): void {
    if (vm.process.state === ProcessState.Ended) this.#system.restart(vm);
  }

  /** Drains a process, and restarts it if it has ended after 6.5 s. */
  #drainOne(vms: readonly DispatchVm[]): void {
    const vm = this.#random.pick(vms);
    if (vm === undefined) return;
    vm.process.receive({ kind: InputKind.DrainRequested });
    this.#system.time.after(6_500, () => this.#restart(vm));
  }

  #pauseOne(vms: readonly DispatchVm[]): void {
    const vm = this.#random.pick(vms);
    if (vm === undefined) return;
    vm.process.pause();
    const paused = vm.process;
    this.#system.time.after(
      this.#random.between(100, 4_000),
      () => paused.resume(),
    );
  }

  #cutPair(): void {
    const entry = this.#random.pick(this.#system.entries);
    const sidecar = this.#random.pick(this.#system.sidecars);
    if (entry === undefined || sidecar === undefined) return;
    const direction = this.#random.below(3);
    const { network } = this.#system;
    if (direction !== 0) network.cutLink(`${entry.name}~`, `${sidecar.name}~`);
    if (direction !== 1) network.cutLink(`${sidecar.name}~`, `${entry.name}~`);
    this.#system.time.after(
      this.#random.between(100, 5_000),
      () => network.restoreAllLinks(),
    );
  }

  #crashWorker(): void {
    const vm = this.#random.pick(this.#system.sidecars);
    if (vm?.worker?.isAlive !== true) return;
    vm.worker.crash();
    const isSameName = this.#random.happens(0.5);
    this.#system.time.after(this.#random.between(50, 3_000), () => {
      if (vm.worker?.isAlive !== true) this.#system.startWorker(vm, isSameName);
    });
  }

  #drainWorker(): void {
    const vm = this.#random.pick(this.#system.sidecars);
    const worker = vm?.worker;
    if (vm === undefined || worker?.isAlive !== true) return;
    this.#system.setWorkerPhase(vm, WorkerPhase.Draining);
    this.#checker.recordDrain(worker);
    this.#system.time.after(2_500, () => {
      if (vm.worker !== worker) return;
      if (worker.isAlive) worker.crash();
      this.#system.startWorker(vm, false);
    });
  }

  #setWorkerFaults(faults: Partial<WorkerFaults>): void {
    const affected = this.#system.sidecars
      .filter(() => this.#random.happens(0.5))
      .flatMap(({ worker }) => worker === undefined ? [] : [worker]);
    for (const worker of affected) {
      worker.faults = { ...worker.faults, ...faults };
    }
  }

  #dropMessages(): void {
    this.#system.network.faults = {
      ...NO_NETWORK_FAULTS,
      lossProbability: this.#random.between(0, 0.05),
    };
  }

  #makeStoreUnavailable(): void {
    this.#system.isStoreUnavailable = true;
  }

  #endFaults(): void {
    this.#system.isStoreUnavailable = false;
    this.#system.network.restoreAllLinks();
    this.#system.network.faults = NO_NETWORK_FAULTS;
    for (const { worker } of this.#system.sidecars) {
      if (worker !== undefined) worker.faults = NO_WORKER_FAULTS;
    }
  }

  #checkRecovery(): void {
    for (const entry of this.#system.entries) {
      const id = `probe-${entry.name}`;
      this.#checker.trackJob(id, { millicores: 500 });
      const job = { id, millicores: 500, runMilliseconds: 50, tasks: 2 };
      let outcome = "no answer";
      this.#submit(entry, { ...job, remainingTries: 1 }, (answer) => {
        outcome = answer.kind;
      });
      this.#system.time.after(5_000, () => {
        if (outcome === ClientAnswerKind.Ended) return;
        this.#checker.report(
          DispatchRule.Recovery,
          `${entry.name}: ${outcome}`,
        );
      });
    }
  }

  #allVms(): readonly DispatchVm[] {
    return [...this.#system.entries, ...this.#system.sidecars];
  }
}
