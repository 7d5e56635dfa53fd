/**
 * The event loop of a process for best-effort work: routes each output to its port.
 */
import {
  assertNever,
  Counter,
  type DispatchInput,
  type DispatchOutput,
  DispatchOutputKind,
  OutputKind,
  type StateMachine,
} from "@eelgrassfront/model";
import type {
  ClientsPort,
  ClockPort,
  DirectoryPort,
  DispatchPeersPort,
  InputPort,
  JournalPort,
  MetricsPort,
  SettingsPort,
  SignalsPort,
  WorkerPort,
} from "@eelgrassfront/ports";
import { InputLoop } from "./input_loop.ts";

/** The ports of a process. Only an entry has `clients`, only a sidecar has a `worker`. */
export interface DispatchPorts {
  readonly clock: ClockPort;
  readonly peers: DispatchPeersPort;
  readonly directory: DirectoryPort;
  readonly signals: SignalsPort;
  readonly settings: SettingsPort;
  readonly journal: JournalPort;
  readonly metrics: MetricsPort;
  readonly clients?: ClientsPort;
  readonly worker?: WorkerPort;
}

/** Runs a state machine on its ports until it stops. */
export class DispatchLoop {
  readonly #ports: DispatchPorts;
  readonly #loop: InputLoop<DispatchInput, DispatchOutput>;

  constructor(
    decisions: StateMachine<DispatchInput, DispatchOutput>,
    ports: DispatchPorts,
  ) {
    this.#ports = ports;
    const { clock, journal } = ports;
    this.#loop = new InputLoop({
      decisions,
      sources: this.#sources(),
      clock,
      journal,
      perform: (output) => this.#perform(output),
    });
  }

  /** Runs until the state machine stops; returns the exit code. */
  run(): Promise<number> {
    return this.#loop.run();
  }

  #sources(): readonly InputPort<DispatchInput>[] {
    const { clock, peers, directory, signals, settings } = this.#ports;
    const { clients, worker } = this.#ports;
    return [clock, peers, directory, signals, settings, clients, worker]
      .filter((port) => port !== undefined);
  }

  #perform(output: DispatchOutput): void {
    const { peers, directory, journal, metrics } = this.#ports;
    switch (output.kind) {
      case DispatchOutputKind.AnswerClient:
      case OutputKind.ReportReadiness:
        this.#ports.clients?.perform(output);
        return;
      case DispatchOutputKind.CallWorker:
        this.#ports.worker?.perform(output);
        return;
      case DispatchOutputKind.Announce:
      case DispatchOutputKind.SaveWorker:
        directory.perform(output);
        return;
      case OutputKind.SendRequest:
      case OutputKind.SendReply:
        metrics.measure({
          kind: OutputKind.IncrementCounter,
          counter: Counter.MessagesSent,
          reason: output.message.kind,
        });
        peers.perform(output);
        return;
      case OutputKind.RecordEvent:
        journal.record(output.event);
        return;
      case OutputKind.IncrementCounter:
      case OutputKind.SetGauge:
      case DispatchOutputKind.ObserveDuration:
        metrics.measure(output);
        return;
      case OutputKind.Stop:
        this.#loop.stop(output.exitCode);
        return;
      default:
        assertNever(output);
    }
  }
}
