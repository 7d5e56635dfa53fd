/**
 * Test harness of a small fleet for best-effort work in which the test chooses every fault. It records the
 * starts, and the tasks that run twice at the same time.
 */
import {
  type ClientAnswer,
  JobRequestKind,
  type Milliseconds,
  type RequestIdentifier,
  type WorkConfiguration,
  WorkerCallKind,
} from "@eelgrassfront/model";
import { DispatchChecker, DispatchRule } from "./dispatch_checker.ts";
import { DispatchSystem } from "./dispatch_system.ts";

export { RESUBMISSION_MILLISECONDS } from "./dispatch_vm.ts";
import type { DispatchVm } from "./dispatch_vm.ts";
import { NO_NETWORK_FAULTS } from "./fake_network.ts";

/** Host of the only route. */
export const HOST = "checks.example";
const CAPACITY_MILLICORES = 8_000;
/** Two of the tasks fit on no worker, so that a task which is placed again moves to another worker. */
const TASK_MILLICORES = 5_000;
const READY_MILLISECONDS: Milliseconds = 3_000;
const DEADLINE_MILLISECONDS: Milliseconds = 20_000;

/** Configuration with one route, whose jobs may wait for long. */
export const SCAN_CONFIGURATION: WorkConfiguration = {
  version: 1,
  routes: [{
    name: "scan",
    host: HOST,
    requestPrefix: "/scan/",
    service: "service",
    healthPath: "/health",
    priority: 0,
    maximumAttempts: 3,
    slackFactor: 1.6,
    latencyAllowanceMilliseconds: 10_000,
  }],
};

/** A request of a client. */
export interface SubmittedRequest {
  readonly entry: DispatchVm;
  readonly request: RequestIdentifier;
}

/** A stall of an event loop, and the time for which the loop then turns. */
export interface Stall {
  readonly stallMilliseconds: Milliseconds;
  readonly turnMilliseconds: Milliseconds;
}

/** A fleet of three entries and two workers without random faults. */
export class OverlappingRunsHarness {
  readonly system: DispatchSystem;
  readonly #checker = new DispatchChecker(() => this.system.time);

  /** Creates a fleet whose entries have sessions with all sidecars. */
  constructor() {
    this.system = new DispatchSystem({
      seed: 1,
      fleet: { entries: 3, workers: 2, zones: 1 },
      capacityMillicores: CAPACITY_MILLICORES,
      observer: this.#checker,
      runMilliseconds: Number,
    });
    this.system.publish(SCAN_CONFIGURATION);
    this.system.runUntil(READY_MILLISECONDS);
  }

  /** Number of starts of all tasks. */
  get starts(): number {
    return this.#checker.starts;
  }

  /** Tasks that ran twice at the same time, each with its workers. */
  get overlaps(): readonly string[] {
    return this.#checker.violations
      .filter(({ rule }) => rule === DispatchRule.OneRunAtATime)
      .map(({ detail }) => detail);
  }

  /** Lets time pass. */
  advance(milliseconds: Milliseconds): void {
    this.system.runUntil(this.system.time.now + milliseconds);
  }

  /** Submits a job of one task. */
  submit(
    entryIndex: number,
    job: string,
    runMilliseconds: Milliseconds,
    onAnswer: (answer: ClientAnswer) => void = () => {},
  ): SubmittedRequest {
    const entry = found(this.system.entries[entryIndex]);
    this.#checker.trackJob(job, { millicores: TASK_MILLICORES });
    const step = {
      taskCount: 1,
      resources: {
        processorMillicores: TASK_MILLICORES,
        memoryMegabytes: 64,
        accelerators: 0,
      },
      estimatedMilliseconds: runMilliseconds,
      dependsOn: [],
    };
    const request = this.system.submit(
      entry,
      { host: HOST, path: `/scan/${job}` },
      {
        kind: JobRequestKind.Runnable,
        job: { content: String(runMilliseconds), steps: [step] },
      },
      DEADLINE_MILLISECONDS,
      onAnswer,
    );
    return { entry, request: found(request) };
  }

  /** Breaks the connection of a client; the entry learns of it at once. */
  disconnect({ entry, request }: SubmittedRequest): void {
    this.system.disconnectClient(entry, request);
  }

  /** Loses all messages that are sent while the function runs, with their connections. */
  loseMessages(act: () => void): void {
    const { network } = this.system;
    network.faults = { ...NO_NETWORK_FAULTS, lossProbability: 1 };
    act();
    network.faults = NO_NETWORK_FAULTS;
  }

  /** The VM whose worker runs a task. */
  busyVm(): DispatchVm {
    return found(
      this.system.sidecars.find(({ worker }) =>
        worker?.isAlive === true && worker.running.length > 0
      ),
    );
  }

  /** Delays the next calls of a kind to a VM's worker, each by one of the given times. */
  delayCalls(
    { worker }: DispatchVm,
    kind: WorkerCallKind,
    delays: readonly Milliseconds[],
  ): void {
    if (worker === undefined) throw new TypeError("the VM has no worker");
    const remaining = [...delays];
    worker.delayOf = (call) =>
      call.kind === kind ? remaining.shift() : undefined;
  }

  /** Stalls the event loop of a VM's process again and again, with a short turn of the loop after each stall. */
  stall({ process }: DispatchVm, stalls: readonly Stall[]): void {
    const { time } = this.system;
    let at = 0;
    for (const { stallMilliseconds, turnMilliseconds } of stalls) {
      time.after(at, () => process.pause());
      at += stallMilliseconds;
      time.after(at, () => process.resume(true));
      at += turnMilliseconds;
    }
  }

  /** Submits a job whose start call is delayed, and returns the VM of its worker. */
  submitWithLateStart(
    job: string,
    runMilliseconds: Milliseconds,
    delay: Milliseconds,
  ): DispatchVm {
    const started: DispatchVm[] = [];
    for (const vm of this.system.sidecars) {
      if (vm.worker === undefined) continue;
      vm.worker.delayOf = (call) => {
        if (call.kind !== WorkerCallKind.Start) return undefined;
        started.push(vm);
        return delay;
      };
    }
    this.submit(0, job, runMilliseconds);
    this.advance(10);
    for (const { worker } of this.system.sidecars) {
      if (worker !== undefined) worker.delayOf = undefined;
    }
    return found(started[0]);
  }
}

function found<Value>(value: Value | undefined): Value {
  if (value === undefined) throw new TypeError("not found");
  return value;
}
