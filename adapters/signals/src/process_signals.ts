/**
 * Signals that request a drain of the process: SIGTERM and SIGINT. A second signal has no further
 * effect, since a drain aborts no request in flight.
 */
import { type DrainRequested, InputKind } from "@eelgrassfront/model";
import type { SignalsPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Converts signals to inputs. */
export class ProcessSignals implements SignalsPort {
  readonly inputs: Stream<DrainRequested>;
  readonly #listener: () => void;

  constructor() {
    const [emit, inputs] = createAdapter<DrainRequested>();
    this.inputs = inputs;
    this.#listener = () => emit({ kind: InputKind.DrainRequested });
    for (const signal of SIGNALS) process.on(signal, this.#listener);
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const signal of SIGNALS) process.off(signal, this.#listener);
    return Promise.resolve();
  }
}
