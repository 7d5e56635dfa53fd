/**
 * The event loop of a process for at-most-once work: routes each output to its port.
 */
import {
  assertNever,
  Counter,
  type Decisions,
  EventNumber,
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
import { InputLoop } from "./input_loop.ts";

export { INVARIANT_EXIT_CODE } from "./input_loop.ts";

/** The ports of a process. Only an entry has `callers`, only a sidecar has a `backendServer`. */
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

/** Runs a state machine on its ports until it stops. */
export class ProcessLoop {
  readonly #ports: ProcessPorts;
  readonly #loop: InputLoop<ProcessInput, ProcessOutput>;

  constructor(decisions: Decisions, ports: ProcessPorts) {
    this.#ports = ports;
    this.#loop = new InputLoop({
      decisions,
      sources: this.#inputPorts(),
      clock: ports.clock,
      journal: ports.journal,
      perform: (output) => this.#perform(output),
    });
  }

  /** Runs until the state machine stops; returns the exit code. */
  run(): Promise<number> {
    return this.#loop.run();
  }

  #inputPorts(): readonly InputPort<ProcessInput>[] {
    const { clock, peers, platformLog, operators, signals } = this.#ports;
    const { callers, backendServer } = this.#ports;
    const shared = [clock, peers, platformLog, operators, signals];
    return [...shared, callers, backendServer]
      .filter((port) => port !== undefined);
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
      case OutputKind.IncrementCounter:
      case OutputKind.SetGauge:
        this.#ports.metrics?.measure(output);
        return;
      case OutputKind.ApplyConfiguration:
        // The state machine applies the configuration itself; the output only informs observers.
        return;
      case OutputKind.Stop:
        this.#loop.stop(output.exitCode);
        return;
      default:
        assertNever(output);
    }
  }

  #countMessage({ message }: SendRequest | SendReply): void {
    this.#ports.metrics?.measure({
      kind: OutputKind.IncrementCounter,
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
      message: "the process is ready for work",
      context: {},
    });
  }
}
