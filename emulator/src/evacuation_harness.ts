/**
 * Test harness of a fleet in three availability zones under constant load, whose operators evacuate and restore a
 * zone. The test chooses which processes can reach the operators' topic, and when.
 */
import {
  type ClientAnswer,
  type DispatchInput,
  DispatchInputKind,
  type DispatchOutput,
  EvacuationReadKind,
  type EventNumber,
  JobRequestKind,
  type Milliseconds,
  OutputKind,
  type ProcessIdentifier,
  type RunReference,
  type StateMachine,
  type ZoneChange,
  ZoneChangeKind,
} from "@eelgrassfront/model";
import { DispatchSystem } from "./dispatch_system.ts";
import { type DispatchVm, zoneOf } from "./dispatch_vm.ts";
import type { FakeWorker } from "./fake_worker.ts";
import { ProcessState } from "./virtual_process.ts";

/** The zone that the operators evacuate. */
export const ZONE = "zone-1";
/** Time within which a process that cannot reach the store must have the state from its peers. */
export const PASSING_ON_MILLISECONDS: Milliseconds = 1_000;

const HOST = "checks.example";
const ZONES = 3;
const FLEET = { entries: 6, workers: 9, zones: ZONES };
const CAPACITY_MILLICORES = 8_000;
/** Four tasks of 60 ms every 10 ms use a third of the capacity, and most of what two zones have. */
const TASK_MILLICORES = 1_000;
const TASKS_PER_JOB = 4;
const RUN_MILLISECONDS: Milliseconds = 60;
const SUBMISSION_MILLISECONDS: Milliseconds = 10;
const DEADLINE_MILLISECONDS: Milliseconds = 5_000;
const READY_MILLISECONDS: Milliseconds = 3_000;
/** Time from the acknowledgement of a record until a process reads it. */
const READ_MILLISECONDS: Milliseconds = 4;
/** Offset of the operators' topic before the first evacuation: the configuration is its only record. */
const FIRST_OFFSET = 1;

interface RecordedStart {
  readonly at: Milliseconds;
  readonly zone: string;
}

interface RecordedChange {
  readonly at: Milliseconds;
  readonly process: ProcessIdentifier;
  readonly number: EventNumber;
}

/** A fleet under load whose operators evacuate and restore a zone. */
export class EvacuationHarness {
  readonly system: DispatchSystem;
  /** Answers to all clients. */
  readonly answers: ClientAnswer[] = [];
  /** Messages that mention an evacuation, or a worker that is cold. */
  readonly mentions: string[] = [];
  readonly #unreachable = new Set<DispatchVm>();
  readonly #evacuated = new Set<string>();
  readonly #starts: RecordedStart[] = [];
  readonly #changes: RecordedChange[] = [];
  #offset = FIRST_OFFSET;
  #jobs = 0;

  constructor(seed: number) {
    this.system = new DispatchSystem({
      seed,
      fleet: FLEET,
      capacityMillicores: CAPACITY_MILLICORES,
      observer: {
        onStart: (worker, run) => this.#recordStart(worker, run),
        onEnd: () => {},
      },
      runMilliseconds: () => RUN_MILLISECONDS,
      onEvent: (process, { number }) =>
        this.#changes.push({ at: this.system.time.now, process, number }),
      wrapDecisions: (_, machine) => this.#observeMessages(machine),
    });
    this.system.publish({
      version: 1,
      routes: [{
        name: "scan",
        host: HOST,
        requestPrefix: "/scan/",
        service: "service",
        priority: 0,
        maximumAttempts: 3,
        slackFactor: 1.6,
        latencyAllowanceMilliseconds: 200,
      }],
    });
    for (const vm of this.vms) this.#deliverAll(vm);
    this.system.runUntil(READY_MILLISECONDS);
    this.#submitRepeatedly();
  }

  /** All VMs. */
  get vms(): readonly DispatchVm[] {
    return [...this.system.entries, ...this.system.sidecars];
  }

  /** The sidecars of the zone that is evacuated. */
  get zoneSidecars(): readonly DispatchVm[] {
    return this.system.sidecars.filter(({ process: { identifier } }) =>
      zoneOf(identifier, ZONES) === ZONE
    );
  }

  /** Cuts VMs off from the operators' topic. */
  cutFromStore(vms: readonly DispatchVm[]): void {
    for (const vm of vms) this.#unreachable.add(vm);
  }

  /** Lets every VM reach the operators' topic again; those that were cut off read all records. */
  reconnectStore(): void {
    const vms = [...this.#unreachable];
    this.#unreachable.clear();
    for (const vm of vms) this.#deliverAll(vm);
  }

  /** Evacuates the zone. */
  evacuate(): void {
    this.#evacuated.add(ZONE);
    this.#write({ kind: ZoneChangeKind.Evacuated, zone: ZONE });
  }

  /** Restores the zone. */
  restore(): void {
    this.#evacuated.delete(ZONE);
    this.#write({ kind: ZoneChangeKind.Restored, zone: ZONE });
  }

  /** Ends the process of a VM and starts the next one, which reads all records if it can reach the topic. */
  restart(vm: DispatchVm): void {
    this.system.kill(vm);
    this.system.restart(vm);
    this.#deliverAll(vm);
  }

  /** Lets time pass. */
  advance(milliseconds: Milliseconds): void {
    this.system.runUntil(this.system.time.now + milliseconds);
  }

  /** The kinds of the answers to clients. */
  outcomes(): readonly ClientAnswer["kind"][] {
    return [...new Set(this.answers.map(({ kind }) => kind))];
  }

  /** Number of starts in the zone, or in the others, since a time. */
  startsSince(since: Milliseconds, isInZone: boolean): number {
    return this.#starts.filter(({ at, zone }) =>
      at >= since && (zone === ZONE) === isInZone
    ).length;
  }

  /** The processes that have recorded an event since a time. */
  processesWith(
    number: EventNumber.ZoneEvacuated | EventNumber.ZoneRestored,
    since: Milliseconds,
  ): ReadonlySet<ProcessIdentifier> {
    return new Set(
      this.#changes.filter((change) =>
        change.number === number && change.at >= since
      ).map(({ process }) => process),
    );
  }

  #write(change: ZoneChange): void {
    this.#offset += 1;
    const offset = this.#offset;
    for (const vm of this.vms) {
      this.#deliver(vm, {
        kind: DispatchInputKind.EvacuationsRead,
        read: { kind: EvacuationReadKind.Changes, offset, changes: [change] },
      });
    }
  }

  #deliverAll(vm: DispatchVm): void {
    const state = { offset: this.#offset, zones: [...this.#evacuated] };
    this.#deliver(vm, {
      kind: DispatchInputKind.EvacuationsRead,
      read: { kind: EvacuationReadKind.Complete, state },
    });
  }

  #deliver(vm: DispatchVm, input: DispatchInput): void {
    if (this.#unreachable.has(vm)) return;
    const { process } = vm;
    this.system.time.after(READ_MILLISECONDS, () => process.receive(input));
  }

  #recordStart(worker: FakeWorker, _run: RunReference): void {
    const vm = this.system.sidecars.find((sidecar) =>
      sidecar.worker === worker
    );
    if (vm === undefined) throw new TypeError("the worker has no VM");
    const zone = zoneOf(vm.process.identifier, ZONES);
    this.#starts.push({ at: this.system.time.now, zone });
  }

  #observeMessages(
    machine: StateMachine<DispatchInput, DispatchOutput>,
  ): StateMachine<DispatchInput, DispatchOutput> {
    return {
      step: (now, input) => {
        const outputs = machine.step(now, input);
        for (const output of outputs) {
          const isMessage = output.kind === OutputKind.SendRequest ||
            output.kind === OutputKind.SendReply;
          const text = isMessage ? JSON.stringify(output.message) : "";
          if (/evacuat|isCold/.test(text)) this.mentions.push(text);
        }
        return outputs;
      },
      nextAlarm: () => machine.nextAlarm(),
    };
  }

  #submitRepeatedly(): void {
    this.#submit();
    this.system.time.after(
      SUBMISSION_MILLISECONDS,
      () => this.#submitRepeatedly(),
    );
  }

  #submit(): void {
    this.#jobs += 1;
    const running = this.system.entries.filter(({ process }) =>
      process.state === ProcessState.Running
    );
    const entry = running[this.#jobs % running.length];
    if (entry === undefined) return;
    const step = {
      taskCount: TASKS_PER_JOB,
      resources: {
        processorMillicores: TASK_MILLICORES,
        memoryMegabytes: 1,
        accelerators: 0,
      },
      estimatedMilliseconds: RUN_MILLISECONDS,
      dependsOn: [],
    };
    this.system.submit(
      entry,
      { host: HOST, path: `/scan/job-${this.#jobs}` },
      { kind: JobRequestKind.Runnable, job: { content: "", steps: [step] } },
      DEADLINE_MILLISECONDS,
      (answer) => this.answers.push(answer),
    );
  }
}
