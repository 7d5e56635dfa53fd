/**
 * A fleet for best-effort work in virtual time: the production state machines of entries and sidecars, with
 * fakes of the network, the store, the workers and the clients.
 */
import { DispatcherDecisions } from "@eelgrassfront/dispatcher";
import {
  type AnswerClient,
  assertNever,
  type ClientAnswer,
  type DispatchInput,
  DispatchInputKind,
  type DispatchOutput,
  DispatchOutputKind,
  type DispatchReply,
  type DispatchRequest,
  type FleetMember,
  InputKind,
  type JobRequest,
  type Milliseconds,
  type OutgoingReply,
  type OutgoingRequest,
  OutputKind,
  PeerReplyKind,
  type ProcessIdentifier,
  processIdentifier,
  processName,
  type RequestIdentifier,
  Role,
  type RunReference,
  type StateMachine,
  type WorkConfiguration,
  type WorkerDescription,
} from "@eelgrassfront/model";
import { WorkerGuardDecisions } from "@eelgrassfront/worker-guard";
import {
  type DispatchProcess,
  type DispatchSystemOptions,
  type DispatchVm,
  GRACE_MILLISECONDS,
  LEASE_MILLISECONDS,
  outstandingKey,
  REPORT_MILLISECONDS,
  requestLost,
  RESUBMISSION_MILLISECONDS,
  STOP_MILLISECONDS,
  vmNameOf,
  workerSizeOf,
  zoneOf,
} from "./dispatch_vm.ts";
import { FakeNetwork, LOSS_DETECTION_MILLISECONDS } from "./fake_network.ts";
import { FakeWorker } from "./fake_worker.ts";
import { SeededRandom } from "./seeded_random.ts";
import { ProcessState, VirtualProcess } from "./virtual_process.ts";
import { VirtualTime } from "./virtual_time.ts";

interface OutstandingRequest {
  readonly from: DispatchProcess;
  readonly request: RequestIdentifier;
}

const NETWORK_DELAY_MILLISECONDS: Milliseconds = 0.5;
const STORE_MILLISECONDS: Milliseconds = 4;
const MINIMUM_CLOCK_RATE = 0.98;
const CRASH_RECOVERY_MILLISECONDS: Milliseconds = 3_000;
const DELAY_SEED_OFFSET = 5_000_011;
const MAXIMUM_ACTIONS_AT_ONCE = 100_000;

/** Entries, sidecars and workers that are connected by a fake network, with a fake store. */
export class DispatchSystem {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly #delayRandom: SeededRandom;
  readonly network: FakeNetwork;
  readonly entries: DispatchVm[] = [];
  readonly sidecars: DispatchVm[] = [];
  /** Whether the store is unavailable; reads and writes are retried until it is available. */
  isStoreUnavailable = false;
  readonly #options: DispatchSystemOptions;
  readonly #members = new Map<string, FleetMember>();
  readonly #workers = new Map<string, WorkerDescription>();
  readonly #outstanding = new Map<string, OutstandingRequest>();
  readonly #answers = new Map<string, (answer: AnswerClient) => void>();
  #configuration: WorkConfiguration | undefined;
  #lastRequest = 0;

  constructor(options: DispatchSystemOptions) {
    this.#options = options;
    this.random = new SeededRandom(options.seed);
    this.#delayRandom = new SeededRandom(options.seed + DELAY_SEED_OFFSET);
    this.network = new FakeNetwork({
      time: this.time,
      random: this.random,
      delayMilliseconds: NETWORK_DELAY_MILLISECONDS,
    });
    for (let index = 0; index < options.fleet.workers; index += 1) {
      this.sidecars.push(this.#addVm(Role.Sidecar, index));
    }
    for (let index = 0; index < options.fleet.entries; index += 1) {
      this.entries.push(this.#addVm(Role.Entry, index));
    }
  }

  /** Runs until a given virtual time. */
  runUntil(until: Milliseconds): void {
    this.time.runUntil(until, MAXIMUM_ACTIONS_AT_ONCE);
  }

  /** Publishes a configuration; every process reads it when the store is available. */
  publish(configuration: WorkConfiguration): void {
    this.#configuration = configuration;
    this.#deliverFromStore(() => ({
      kind: DispatchInputKind.ConfigurationRead,
      configuration,
    }));
  }

  /** Submits a job; returns undefined when the entry has ended. */
  submit(
    entry: DispatchVm,
    target: { readonly host: string; readonly path: string },
    body: JobRequest,
    deadlineMilliseconds: Milliseconds,
    onAnswer: (answer: ClientAnswer) => void,
  ): RequestIdentifier | undefined {
    if (entry.process.state === ProcessState.Ended) return undefined;
    this.#lastRequest += 1;
    const request = this.#lastRequest;
    const key = `${entry.process.identifier} ${request}`;
    this.#answers.set(key, ({ answer }) => onAnswer(answer));
    entry.process.receive({
      kind: DispatchInputKind.JobSubmitted,
      request,
      target,
      body,
      deadlineMilliseconds,
    });
    return request;
  }

  /** Disconnects the client of a request. */
  disconnectClient(entry: DispatchVm, request: RequestIdentifier): void {
    this.#answers.delete(`${entry.process.identifier} ${request}`);
    entry.process.receive({
      kind: DispatchInputKind.ClientDisconnected,
      request,
    });
  }

  /** Ends the process of a VM immediately; its connections break. */
  kill(vm: DispatchVm): void {
    vm.process.kill();
    for (const [key, { from, request }] of this.#outstanding) {
      if (!key.startsWith(`${vm.process.identifier} `)) continue;
      this.#outstanding.delete(key);
      this.time.after(
        LOSS_DETECTION_MILLISECONDS,
        () => from.receive(requestLost(vm.process.identifier, request)),
      );
    }
  }

  /** Starts the next incarnation of a VM's process. */
  restart(vm: DispatchVm): void {
    vm.incarnations += 1;
    vm.process = this.#newProcess(vm.role, vm.name, vm.incarnations);
  }

  /** Starts another worker on a sidecar's VM, with the same identifier or a new one. */
  startWorker(
    vm: DispatchVm,
    isSameName: boolean,
    labels: readonly string[] = vm.worker?.options.labels ?? [],
  ): void {
    const suffix = isSameName ? "" : `-${Math.round(this.time.now)}`;
    vm.worker = this.#newWorker(vm, `worker-${vm.name}${suffix}`, labels);
    this.#reportWorker(vm);
  }

  /** Changes the phase of a VM's worker, which reports it to the sidecar. */
  setWorkerPhase(vm: DispatchVm, phase: FakeWorker["phase"]): void {
    if (vm.worker === undefined) return;
    vm.worker.phase = phase;
    this.#reportWorker(vm);
  }

  #addVm(role: Role, index: number): DispatchVm {
    const name = `${role}-${index + 1}`;
    const vm: DispatchVm = {
      name,
      role,
      process: this.#newProcess(role, name, 0),
      worker: undefined,
      incarnations: 0,
      heldUntil: 0,
    };
    if (role === Role.Sidecar) {
      const labels = this.#options.workerLabels?.[index] ?? [];
      vm.worker = this.#newWorker(vm, `worker-${name}`, labels);
      this.#reportPeriodically(vm);
    }
    return vm;
  }

  #newProcess(role: Role, name: string, incarnation: number): DispatchProcess {
    const identifier = processIdentifier(name, String(incarnation));
    const machine = this.#newDecisions(role, identifier);
    const process: DispatchProcess = new VirtualProcess<
      DispatchInput,
      DispatchOutput
    >({
      identifier,
      decisions: this.#options.wrapDecisions?.(role, machine) ?? machine,
      time: this.time,
      perform: (output) => this.#perform(process, output),
      createAlarm: () => ({ kind: InputKind.AlarmFired }),
    });
    this.time.after(0, () => {
      process.receive({ kind: InputKind.AlarmFired });
      this.#readStore(process);
    });
    return process;
  }

  #newDecisions(
    role: Role,
    identifier: ProcessIdentifier,
  ): StateMachine<DispatchInput, DispatchOutput> {
    const self = {
      process: identifier,
      role,
      address: processName(identifier),
      availabilityZone: zoneOf(identifier, this.#options.fleet.zones),
    };
    const seeds = ["entry-1", "entry-2", "entry-3"];
    const common = { self, seeds, graceMilliseconds: GRACE_MILLISECONDS };
    switch (role) {
      case Role.Entry:
        return new DispatcherDecisions({
          ...common,
          resubmissionMilliseconds: RESUBMISSION_MILLISECONDS,
        });
      case Role.Sidecar:
        return new WorkerGuardDecisions({
          ...common,
          leaseMilliseconds: LEASE_MILLISECONDS,
          stopMilliseconds: STOP_MILLISECONDS,
          firstFencingToken: Math.floor(this.time.now) + 1,
        });
      default:
        return assertNever(role);
    }
  }

  #newWorker(
    vm: DispatchVm,
    id: string,
    labels: readonly string[],
  ): FakeWorker {
    const { observer, runMilliseconds, crashMilliseconds } = this.#options;
    return new FakeWorker({
      id,
      bornAt: this.time.now,
      service: "service",
      ...workerSizeOf(this.#options, vm.name),
      labels,
      time: this.time,
      random: this.random,
      delayRandom: this.#delayRandom,
      current: () => vm.worker,
      observer: {
        onStart: (worker, run) => observer.onStart(worker, run),
        onEnd: (worker, run) => observer.onEnd(worker, run),
        onCrash: (worker, run) => this.#recoverFromCrash(worker, run),
      },
      clockRate: this.random.between(MINIMUM_CLOCK_RATE, 1),
      runMilliseconds,
      ...(crashMilliseconds === undefined ? {} : { crashMilliseconds }),
    });
  }

  /** Starts a new worker some time after a task crashed the earlier one. */
  #recoverFromCrash(worker: FakeWorker, run: RunReference): void {
    this.#options.observer.onCrash?.(worker, run);
    const vm = this.sidecars.find((sidecar) => sidecar.worker === worker);
    if (vm === undefined) return;
    this.time.after(CRASH_RECOVERY_MILLISECONDS, () => {
      if (vm.worker === worker) this.startWorker(vm, false);
    });
  }

  #reportPeriodically(vm: DispatchVm): void {
    this.#reportWorker(vm);
    this.time.after(REPORT_MILLISECONDS, () => this.#reportPeriodically(vm));
  }

  #reportWorker(vm: DispatchVm): void {
    const { worker } = vm;
    if (worker?.isAlive !== true) return;
    this.time.after(1, () => {
      if (!worker.isAlive) return;
      const description = worker.describe();
      vm.process.receive({
        kind: DispatchInputKind.WorkerReported,
        description,
      });
    });
  }

  #readStore(process: DispatchProcess): void {
    if (this.isStoreUnavailable) {
      this.time.after(500, () => this.#readStore(process));
      return;
    }
    process.receive({
      kind: DispatchInputKind.MembersRead,
      members: [...this.#members.values()],
      removedNames: [],
    });
    const worker = this.#workers.get(processName(process.identifier));
    if (worker !== undefined) {
      process.receive({
        kind: DispatchInputKind.SavedWorkerRead,
        description: worker,
      });
    }
    if (this.#configuration === undefined) return;
    process.receive({
      kind: DispatchInputKind.ConfigurationRead,
      configuration: this.#configuration,
    });
  }

  /** Saves a sidecar's worker. While the store is unavailable, the sidecar's adapter retries. */
  #saveWorker(process: DispatchProcess, description: WorkerDescription): void {
    if (this.isStoreUnavailable) {
      this.time.after(500, () => this.#saveWorker(process, description));
      return;
    }
    const { clock: _, ...saved } = description;
    this.#workers.set(processName(process.identifier), saved);
  }

  /** Stores an announcement. While the store is unavailable, the adapter of the process retries. */
  #announce(process: DispatchProcess, member: FleetMember): void {
    if (this.isStoreUnavailable) {
      this.time.after(500, () => this.#announce(process, member));
      return;
    }
    this.#members.set(processName(member.process), member);
    this.#deliverFromStore(() => ({
      kind: DispatchInputKind.MembersRead,
      members: [member],
      removedNames: [],
    }));
    this.time.after(
      STORE_MILLISECONDS,
      () => process.receive({ kind: DispatchInputKind.AnnouncementStored }),
    );
  }

  #deliverFromStore(input: () => DispatchInput): void {
    if (this.isStoreUnavailable) {
      this.time.after(500, () => this.#deliverFromStore(input));
      return;
    }
    for (const vm of [...this.entries, ...this.sidecars]) {
      this.time.after(STORE_MILLISECONDS, () => vm.process.receive(input()));
    }
  }

  #perform(process: DispatchProcess, output: DispatchOutput): void {
    switch (output.kind) {
      case DispatchOutputKind.AnswerClient: {
        const key = `${process.identifier} ${output.request}`;
        const onAnswer = this.#answers.get(key);
        this.#answers.delete(key);
        onAnswer?.(output);
        return;
      }
      case DispatchOutputKind.Announce:
        this.#announce(process, output.member);
        return;
      case DispatchOutputKind.SaveWorker:
        this.#saveWorker(process, output.description);
        return;
      case DispatchOutputKind.CallWorker:
        this.#findVm(process)?.worker?.call(
          output,
          (answer) =>
            process.receive({
              kind: DispatchInputKind.WorkerAnswered,
              call: output.call,
              answer,
            }),
        );
        return;
      case OutputKind.SendRequest:
        this.#sendRequest(process, output);
        return;
      case OutputKind.SendReply:
        this.#sendReply(process, output);
        return;
      case OutputKind.RecordEvent:
        this.#options.onEvent?.(process.identifier, output.event);
        return;
      case OutputKind.Stop:
        process.kill();
        return;
      case DispatchOutputKind.ObserveDuration:
      case OutputKind.IncrementCounter:
      case OutputKind.SetGauge:
      case OutputKind.ReportReadiness:
        return;
      default:
        assertNever(output);
    }
  }

  #sendRequest(
    from: DispatchProcess,
    { address, peer, request, message }: OutgoingRequest<DispatchRequest>,
  ): void {
    const to = this.#findByName(address);
    const onLost = () => from.receive(requestLost(peer, request));
    if (to === undefined || to.process.state === ProcessState.Ended) {
      this.time.after(LOSS_DETECTION_MILLISECONDS, onLost);
      return;
    }
    const receiver = to.process;
    this.network.send({
      from: vmNameOf(from),
      to: vmNameOf(receiver),
      onLost,
      deliver: () => {
        if (receiver.state === ProcessState.Ended) {
          onLost();
          return;
        }
        if (receiver.identifier !== peer) {
          this.#deliverReply(receiver, from, request, {
            kind: PeerReplyKind.IncarnationMismatch,
            current: receiver.identifier,
          });
          return;
        }
        const key = outstandingKey(
          receiver.identifier,
          from.identifier,
          request,
        );
        this.#outstanding.set(key, { from, request });
        receiver.receive({
          kind: InputKind.PeerRequestArrived,
          from: from.identifier,
          request,
          message,
        });
      },
    });
  }

  #sendReply(
    from: DispatchProcess,
    { to, request, message }: OutgoingReply<DispatchReply>,
  ): void {
    const key = outstandingKey(from.identifier, to, request);
    const outstanding = this.#outstanding.get(key);
    this.#outstanding.delete(key);
    if (outstanding === undefined) return;
    this.#deliverReply(from, outstanding.from, request, message);
  }

  #deliverReply(
    from: DispatchProcess,
    to: DispatchProcess,
    request: RequestIdentifier,
    message: DispatchReply,
  ): void {
    this.network.send({
      from: vmNameOf(from),
      to: vmNameOf(to),
      onLost: () => to.receive(requestLost(from.identifier, request)),
      deliver: () =>
        to.receive({
          kind: InputKind.PeerReplyArrived,
          from: from.identifier,
          request,
          message,
        }),
    });
  }

  #findVm({ identifier }: DispatchProcess): DispatchVm | undefined {
    return this.#findByName(processName(identifier));
  }

  #findByName(name: string): DispatchVm | undefined {
    return [...this.entries, ...this.sidecars].find((vm) => vm.name === name);
  }
}
