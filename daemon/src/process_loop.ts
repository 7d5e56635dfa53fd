/**
 * The one loop of a process: every port's inputs merge into one stream, the decisions take one input
 * at a time, and each output goes to its port.
 */
import {
  assertNever,
  Counter,
  type Decisions,
  EventNumber,
  InvariantError,
  OutputKind,
  type ProcessInput,
  type ProcessOutput,
  type ReportReadiness,
  type SendReply,
  type SendRequest,
  Severity,
} from "@eelgrassfront/model";
import type {
  BackendServerPort,
  CallersPort,
  ClockPort,
  InputPort,
  JournalPort,
  MetricsPort,
  OperatorsPort,
  PeersPort,
  PlatformLogPort,
  SignalsPort,
} from "@eelgrassfront/ports";
import { mergeArray, runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";

/** The ports of a process. An entry has callers, a sidecar has a backend server. */
export interface ProcessPorts {
  readonly clock: ClockPort;
  readonly peers: PeersPort;
  readonly platformLog: PlatformLogPort;
  readonly operators: OperatorsPort;
  readonly signals: SignalsPort;
  readonly journal: JournalPort;
  readonly metrics?: MetricsPort;
  readonly callers?: CallersPort;
  readonly backendServer?: BackendServerPort;
}

/** Exit code after a broken invariant. */
export const INVARIANT_EXIT_CODE = 70;

/** Runs decisions on ports until the decisions stop. */
export class ProcessLoop {
  readonly #decisions: Decisions;
  readonly #ports: ProcessPorts;
  #finish: (exitCode: number) => void = () => {};
  #isStopped = false;

  constructor(decisions: Decisions, ports: ProcessPorts) {
    this.#decisions = decisions;
    this.#ports = ports;
  }

  /** Runs until the decisions stop; returns the exit code. */
  run(): Promise<number> {
    return new Promise((resolve) => {
      this.#finish = resolve;
      const inputs = mergeArray(this.#inputPorts().map((port) => port.inputs));
      const steps = tap((input: ProcessInput) => this.#step(input), inputs);
      runEffects(steps, newDefaultScheduler()).catch((error: unknown) => {
        this.#fail(error);
      });
      this.#armAlarm();
    });
  }

  #inputPorts(): readonly InputPort<ProcessInput>[] {
    const { clock, peers, platformLog, operators, signals } = this.#ports;
    const { callers, backendServer } = this.#ports;
    const shared = [clock, peers, platformLog, operators, signals];
    return [...shared, callers, backendServer]
      .filter((port) => port !== undefined);
  }

  #step(input: ProcessInput): void {
    if (this.#isStopped) return;
    try {
      const outputs = this.#decisions.step(this.#ports.clock.now(), input);
      for (const output of outputs) this.#perform(output);
      this.#armAlarm();
    } catch (error) {
      this.#fail(error);
    }
  }

  #armAlarm(): void {
    this.#ports.clock.setAlarm(this.#decisions.nextAlarm());
  }

  #perform(output: ProcessOutput): void {
    switch (output.kind) {
      case OutputKind.AnswerCaller:
        this.#ports.callers?.perform(output);
        return;
      case OutputKind.AnswerOperator:
        this.#ports.operators.perform(output);
        return;
      case OutputKind.ReportReadiness:
        this.#reportReadiness(output);
        return;
      case OutputKind.SendRequest:
      case OutputKind.SendReply:
        this.#countMessage(output);
        this.#ports.peers.perform(output);
        return;
      case OutputKind.ExecuteTask:
        this.#ports.backendServer?.perform(output);
        return;
      case OutputKind.AppendRecord:
        this.#ports.platformLog.perform(output);
        return;
      case OutputKind.RecordEvent:
        this.#ports.journal.record(output.event);
        return;
      case OutputKind.CountOccurrence:
      case OutputKind.SetGauge:
        this.#ports.metrics?.measure(output);
        return;
      case OutputKind.ApplyConfiguration:
        // The decisions hold the configuration; the output tells observers that it is in force.
        return;
      case OutputKind.Stop:
        this.#stop(output.exitCode);
        return;
      default:
        assertNever(output);
    }
  }

  #countMessage({ message }: SendRequest | SendReply): void {
    this.#ports.metrics?.measure({
      kind: OutputKind.CountOccurrence,
      counter: Counter.MessagesSent,
      reason: message.kind,
    });
  }

  #reportReadiness(output: ReportReadiness): void {
    this.#ports.callers?.perform(output);
    this.#ports.operators.perform(output);
    if (!output.isReady) return;
    this.#ports.journal.record({
      number: EventNumber.ProcessReady,
      severity: Severity.Information,
      message: "the process takes work",
      context: {},
    });
  }

  #stop(exitCode: number): void {
    this.#isStopped = true;
    this.#finish(exitCode);
  }

  #fail(error: unknown): void {
    const state = error instanceof InvariantError ? error.state : String(error);
    this.#ports.journal.record({
      number: EventNumber.InvariantBroken,
      severity: Severity.Error,
      message: error instanceof Error ? error.message : "the loop failed",
      context: { state },
    });
    this.#stop(INVARIANT_EXIT_CODE);
  }
}
