/**
 * Signals that ask the process to leave: SIGTERM and SIGINT. A second signal changes nothing, since
 * leaving cuts off no request in flight.
 */
import { type DrainAsked, InputKind } from "@eelgrassfront/model";
import type { SignalsPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Signals as inputs. */
export class ProcessSignals implements SignalsPort {
  readonly inputs: Stream<DrainAsked>;
  readonly #listener: () => void;

  constructor() {
    const [ask, inputs] = createAdapter<DrainAsked>();
    this.inputs = inputs;
    this.#listener = () => ask({ kind: InputKind.DrainAsked });
    for (const signal of SIGNALS) process.on(signal, this.#listener);
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const signal of SIGNALS) process.off(signal, this.#listener);
    return Promise.resolve();
  }
}
