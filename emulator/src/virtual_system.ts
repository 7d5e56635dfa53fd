/**
 * A whole system in virtual time: the production state machines of every role, with fakes at the ports.
 * Faults are injected from outside; runs with the same seed are identical.
 */
import { EntryDecisions } from "@eelgrassfront/entry";
import type { QueueDisciplineKind } from "@eelgrassfront/fairness";
import {
  DEFAULT_TIMING,
  type MembershipTiming,
} from "@eelgrassfront/membership";
import {
  assertNever,
  type CallerAnswer,
  type CallerRequestIdentifier,
  type Configuration,
  type Decisions,
  ErrorTag,
  InputKind,
  LogRecordKind,
  type Milliseconds,
  OutputKind,
  PeerReplyKind,
  type PlatformLogInput,
  type ProcessEvent,
  type ProcessIdentifier,
  processIdentifier,
  type ProcessInput,
  processName,
  type ProcessOutput,
  type SendReply,
  type SendRequest,
  Step,
  type Submission,
  type SubmissionIdentifier,
} from "@eelgrassfront/model";
import type { PlacementPolicy } from "@eelgrassfront/placement";
import { SidecarDecisions } from "@eelgrassfront/sidecar";
import { FakeBackendServer } from "./fake_backend_server.ts";
import { FakeLog } from "./fake_log.ts";
import { FakeNetwork, LOSS_DETECTION_MILLISECONDS } from "./fake_network.ts";
import { SeededRandom } from "./seeded_random.ts";
import { StartCounter } from "./start_counter.ts";
import { ProcessState, VirtualProcess } from "./virtual_process.ts";
import { VirtualTime } from "./virtual_time.ts";

/** Size and delays of a system. */
export interface VirtualSystemOptions {
  readonly seed: number;
  readonly entries: number;
  readonly sidecars: number;
  readonly slots: number;
  readonly owners: number;
  readonly shards: number;
  readonly configuration: Configuration;
  /** One-way delay between processes. */
  readonly delayMilliseconds: Milliseconds;
  readonly timing?: MembershipTiming;
  /** Limit in bytes on the answers that an owner retains, and on the results that a runner retains. */
  readonly maximumRetainedBytes?: number;
  /** Baselines of measurements use another placement policy or queue discipline. */
  readonly placementPolicy?: PlacementPolicy;
  readonly queueDiscipline?: QueueDisciplineKind;
  /** Called for each output of each process. */
  readonly onOutput?: (process: string, output: ProcessOutput) => void;
  /** Called for each input of each process, before the process handles it. */
  readonly onInput?: (process: string, input: ProcessInput) => void;
  /** Wraps the state machine of a process, so that tests can disable a mechanism. */
  readonly wrapDecisions?: (
    decisions: Decisions,
    identifier: ProcessIdentifier,
  ) => Decisions;
  /** Whether messages reach the newest incarnation of a process, whichever one they address. */
  readonly isIncarnationIgnored?: boolean;
  /** Called for each event that a process records. */
  readonly onEvent?: (process: string, event: ProcessEvent) => void;
}

/** A sidecar process with its backend server. */
export interface VirtualSidecar {
  readonly process: VirtualProcess;
  readonly backendServer: FakeBackendServer;
}

const APPEND_MILLISECONDS: Milliseconds = 4;
const READ_MILLISECONDS: Milliseconds = 1;
const READ_WAIT_MILLISECONDS: Milliseconds = 500;
const DESCRIPTION_MILLISECONDS: Milliseconds = 1;
const AVAILABILITY_ZONES = 3;
const SEEDS = 2;
const DEFAULT_RETAINED_BYTES = 64_000_000;

interface PendingReply {
  readonly peer: ProcessIdentifier;
  readonly onLost: () => void;
}

/** Entries and sidecars that are connected by fakes of the network and the log. */
export class VirtualSystem {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly network: FakeNetwork;
  readonly log: FakeLog;
  readonly starts = new StartCounter();
  readonly entries: VirtualProcess[] = [];
  readonly sidecars: VirtualSidecar[] = [];
  readonly #options: VirtualSystemOptions;
  readonly #processes = new Map<ProcessIdentifier, VirtualProcess>();
  readonly #pendingReplies = new Map<string, PendingReply>();
  readonly #callers = new Map<
    CallerRequestIdentifier,
    (answer: CallerAnswer, epochToken: number) => void
  >();
  #incarnations = 0;
  #callerRequests = 0;

  constructor(options: VirtualSystemOptions) {
    this.#options = options;
    const { time } = this;
    this.random = new SeededRandom(options.seed);
    const { random } = this;
    const { delayMilliseconds } = options;
    this.network = new FakeNetwork({ time, random, delayMilliseconds });
    this.log = new FakeLog({
      time,
      random,
      appendMilliseconds: APPEND_MILLISECONDS,
      readMilliseconds: READ_MILLISECONDS,
      waitMilliseconds: READ_WAIT_MILLISECONDS,
    });
    this.log.preload({
      kind: LogRecordKind.ConfigurationPublished,
      publication: "first",
      replaces: 0,
      publishedBy: "emulator",
      configuration: options.configuration,
    });
    for (let index = 0; index < options.sidecars; index += 1) {
      this.startSidecar(index);
    }
    for (let index = 0; index < options.entries; index += 1) {
      this.startEntry(index);
    }
  }

  /** Starts a sidecar, or its next incarnation. */
  startSidecar(index: number): void {
    const { random, time, starts } = this;
    const { slots, owners, shards, timing, maximumRetainedBytes } =
      this.#options;
    const identifier = this.#nextIdentifier(`sidecar-${index}`);
    const backendServer = new FakeBackendServer({
      time,
      random,
      slots,
      starts,
    });
    const decisions = new SidecarDecisions({
      ...policyOf(this.#options),
      self: identifier,
      availabilityZone: zoneOf(index),
      address: identifier,
      timing: timing ?? DEFAULT_TIMING,
      seeds: this.#seeds(),
      random: () => random.next(),
      shardCount: shards,
      ownerCount: owners,
      maximumAnswerBytes: maximumRetainedBytes ?? DEFAULT_RETAINED_BYTES,
      maximumResultBytes: maximumRetainedBytes ?? DEFAULT_RETAINED_BYTES,
      maximumQueuedTasks: 1_000,
    });
    const process = this.#startProcess(identifier, decisions, backendServer);
    this.sidecars[index] = { process, backendServer };
    this.time.after(DESCRIPTION_MILLISECONDS, () =>
      process.receive({
        kind: InputKind.BackendServerDescribed,
        description: backendServer.description,
      }));
  }

  /** Starts an entry, or its next incarnation. */
  startEntry(index: number): void {
    const identifier = this.#nextIdentifier(`entry-${index}`);
    const decisions = new EntryDecisions({
      self: identifier,
      availabilityZone: zoneOf(index),
      address: identifier,
      timing: this.#options.timing ?? DEFAULT_TIMING,
      seeds: this.#seeds(),
      shardCount: this.#options.shards,
      maximumPending: 100_000,
    });
    this.entries[index] = this.#startProcess(identifier, decisions);
  }

  /** Submits through an entry; `onAnswer` is called at most once, and not when the entry ends before. */
  submit(
    entry: VirtualProcess,
    submission: Submission,
    onAnswer: (answer: CallerAnswer, epochToken: number) => void,
  ): CallerRequestIdentifier {
    const request = this.nextCallerRequest(entry);
    this.#callerRequests += 1;
    this.#callers.set(request, onAnswer);
    entry.receive({
      kind: InputKind.SubmissionArrived,
      request,
      submission,
    });
    return request;
  }

  /** Returns the identifier of the next request of a caller. */
  nextCallerRequest(entry: VirtualProcess): CallerRequestIdentifier {
    return `${entry.identifier}:${this.#callerRequests + 1}`;
  }

  /** Requests the cancellation of a job through an entry. */
  cancel(entry: VirtualProcess, submission: SubmissionIdentifier): void {
    const request = this.nextCallerRequest(entry);
    this.#callerRequests += 1;
    entry.receive({
      kind: InputKind.CancellationRequested,
      request,
      submission,
    });
  }

  /** Ends a process immediately; processes that wait for its replies detect the broken connection. */
  kill(process: VirtualProcess): void {
    process.kill();
    const { identifier } = process;
    for (const [key, { peer, onLost }] of this.#pendingReplies) {
      if (peer !== identifier) continue;
      this.#pendingReplies.delete(key);
      this.time.after(LOSS_DETECTION_MILLISECONDS, onLost);
    }
  }

  #nextIdentifier(name: string): ProcessIdentifier {
    this.#incarnations += 1;
    return processIdentifier(name, String(this.#incarnations));
  }

  #startProcess(
    identifier: ProcessIdentifier,
    decisions: Decisions,
    backendServer?: FakeBackendServer,
  ): VirtualProcess {
    const { wrapDecisions, onInput } = this.#options;
    const process: VirtualProcess = new VirtualProcess({
      identifier,
      decisions: wrapDecisions?.(decisions, identifier) ?? decisions,
      time: this.time,
      perform: (output) => this.#perform(process, output, backendServer),
      createAlarm: () => ({ kind: InputKind.AlarmFired }),
      onInput: (input) => onInput?.(identifier, input),
    });
    this.#processes.set(identifier, process);
    process.start();
    this.#readLog(process, 1);
    return process;
  }

  #readLog(process: VirtualProcess, from: number): void {
    if (process.state === ProcessState.Ended) return;
    const reply = (input: PlatformLogInput) => {
      process.receive(input);
      const isRead = input.kind === InputKind.LogRecordsRead;
      const next = isRead ? input.nextOffset : from;
      process.whenRunning(() => this.#readLog(process, next));
    };
    this.log.readFor({ process: process.identifier, reply }, from);
  }

  #perform(
    process: VirtualProcess,
    output: ProcessOutput,
    backendServer?: FakeBackendServer,
  ): void {
    this.#options.onOutput?.(process.identifier, output);
    switch (output.kind) {
      case OutputKind.AnswerCaller: {
        const { request, answer, epochToken } = output;
        this.#callers.get(request)?.(answer, epochToken);
        this.#callers.delete(request);
        return;
      }
      case OutputKind.SendRequest:
        this.#sendRequest(process, output);
        return;
      case OutputKind.SendReply:
        this.#sendReply(process, output);
        return;
      case OutputKind.ExecuteTask:
        backendServer?.execute(output, (input) => process.receive(input));
        return;
      case OutputKind.AppendRecord:
        this.log.appendFor({
          process: process.identifier,
          reply: (input) => process.receive(input),
        }, output);
        return;
      case OutputKind.RecordEvent:
        this.#options.onEvent?.(process.identifier, output.event);
        return;
      case OutputKind.Stop:
        this.kill(process);
        return;
      case OutputKind.AnswerOperator:
      case OutputKind.IncrementCounter:
      case OutputKind.SetGauge:
      case OutputKind.ReportReadiness:
      case OutputKind.ApplyConfiguration:
        return;
      default:
        assertNever(output);
    }
  }

  #sendRequest(sender: VirtualProcess, output: SendRequest): void {
    const { peer, request, message } = output;
    const onLost = () =>
      sender.receive({
        kind: InputKind.PeerRequestLost,
        peer,
        request,
        error: {
          tag: ErrorTag.ConnectionLost,
          step: Step.CallPeer,
          peer,
          detail: "the connection ended",
        },
      });
    this.#pendingReplies.set(`${sender.identifier} ${request}`, {
      peer,
      onLost,
    });
    this.network.send({
      from: sender.identifier,
      to: peer,
      onLost,
      deliver: () => {
        const receiver = this.#findReceiver(peer);
        const from = sender.identifier;
        if (receiver === undefined || receiver.state === ProcessState.Ended) {
          if (!this.#replyWithCurrentIncarnation(sender, output)) onLost();
          return;
        }
        const kind = InputKind.PeerRequestArrived;
        receiver.receive({ kind, from, request, message });
      },
    });
  }

  #findReceiver(peer: ProcessIdentifier): VirtualProcess | undefined {
    if (!this.#options.isIncarnationIgnored) return this.#processes.get(peer);
    const name = processName(peer);
    return [...this.#processes.values()].findLast(({ identifier }) =>
      processName(identifier) === name
    );
  }

  /** Replies with the incarnation that runs at the address now; returns false when there is none. */
  #replyWithCurrentIncarnation(
    sender: VirtualProcess,
    output: SendRequest,
  ): boolean {
    const { address, peer, request } = output;
    const current = this.#processes.get(address as ProcessIdentifier);
    if (current === undefined || address === peer) return false;
    if (current.state !== ProcessState.Running) return false;
    this.#sendReply(current, {
      kind: OutputKind.SendReply,
      to: sender.identifier,
      request,
      message: {
        kind: PeerReplyKind.IncarnationMismatch,
        current: current.identifier,
      },
    });
    return true;
  }

  /** Returns the seed addresses for a process that starts now; the first processes have none. */
  #seeds(): readonly string[] {
    if (this.time.now === 0) return [];
    return this.sidecars
      .map(({ process }) => process)
      .filter(({ state }) => state === ProcessState.Running)
      .map(({ identifier }) => identifier)
      .slice(0, SEEDS);
  }

  #sendReply(sender: VirtualProcess, output: SendReply): void {
    const { to, request, message } = output;
    const key = `${to} ${request}`;
    this.network.send({
      from: sender.identifier,
      to,
      onLost: () => this.#pendingReplies.get(key)?.onLost(),
      deliver: () => {
        this.#pendingReplies.delete(key);
        this.#processes.get(to)?.receive({
          kind: InputKind.PeerReplyArrived,
          from: sender.identifier,
          request,
          message,
        });
      },
    });
  }
}

/** Returns the availability zone of the process with this index. */
export function zoneOf(index: number): string {
  return `zone-${index % AVAILABILITY_ZONES + 1}`;
}

function policyOf(
  { placementPolicy, queueDiscipline }: VirtualSystemOptions,
): Pick<VirtualSystemOptions, "placementPolicy" | "queueDiscipline"> {
  return {
    ...(placementPolicy === undefined ? {} : { placementPolicy }),
    ...(queueDiscipline === undefined ? {} : { queueDiscipline }),
  };
}
