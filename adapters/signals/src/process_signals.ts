/**
 * Signals that ask the process to leave: SIGTERM and SIGINT. A second signal changes nothing, since
 * leaving cuts off no request in flight.
 */
import { type DrainRequested, InputKind } from "@eelgrassfront/model";
import type { SignalsPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Signals as inputs. */
export class ProcessSignals implements SignalsPort {
  readonly inputs: Stream<DrainRequested>;
  readonly #listener: () => void;

  constructor() {
    const [ask, inputs] = createAdapter<DrainRequested>();
    this.inputs = inputs;
    this.#listener = () => ask({ kind: InputKind.DrainRequested });
    for (const signal of SIGNALS) process.on(signal, this.#listener);
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const signal of SIGNALS) process.off(signal, this.#listener);
    return Promise.resolve();
  }
}
