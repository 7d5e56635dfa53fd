/**
 * Counters and gauges sent to a StatsD receiver over UDP by hot-shots. Occurrences are summed between
 * two sendings, so that a busy process sends no more than an idle one. A lost receiver disturbs
 * nothing: the datagrams are dropped.
 */
import {
  assertNever,
  DispatchOutputKind,
  type IncrementCounter,
  type ObserveDuration,
  OutputKind,
  type ProcessIdentifier,
  processName,
  type SetGauge,
} from "@eelgrassfront/model";
import type { MetricsPort } from "@eelgrassfront/ports";
import { StatsD } from "hot-shots";

/** Where metrics go, and for whom. */
export interface HotShotsMetricsOptions {
  readonly self: ProcessIdentifier;
  readonly host: string;
  readonly port: number;
}

interface Occurrences {
  readonly counter: string;
  readonly tags: string[];
  count: number;
}

const FLUSH_MILLISECONDS = 1_000;
const GATHER_MILLISECONDS = 100;
const MAXIMUM_DATAGRAM_BYTES = 1_400;

/** Sends metrics with hot-shots. */
export class HotShotsMetrics implements MetricsPort {
  readonly #client: StatsD;
  readonly #gauges = new Map<string, number>();
  readonly #occurrences = new Map<string, Occurrences>();
  readonly #timer: NodeJS.Timeout;

  constructor(options: HotShotsMetricsOptions) {
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: "eelgrassfront.",
      globalTags: { process: processName(options.self) },
      bufferFlushInterval: GATHER_MILLISECONDS,
      maxBufferSize: MAXIMUM_DATAGRAM_BYTES,
      errorHandler: () => {},
    });
    this.#timer = setInterval(() => this.#send(), FLUSH_MILLISECONDS);
  }

  measure(output: IncrementCounter | SetGauge | ObserveDuration): void {
    switch (output.kind) {
      case OutputKind.IncrementCounter:
        this.#count(output);
        return;
      case OutputKind.SetGauge:
        this.#set(output);
        return;
      case DispatchOutputKind.ObserveDuration:
        this.#client.histogram(output.histogram, output.milliseconds, {
          label: output.label,
        });
        return;
      default:
        assertNever(output);
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    this.#send();
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }

  #count({ counter, reason }: IncrementCounter): void {
    const key = `${counter} ${reason ?? ""}`;
    const known = this.#occurrences.get(key);
    if (known !== undefined) {
      known.count += 1;
      return;
    }
    const tags = reason === undefined ? [] : [`reason:${reason}`];
    this.#occurrences.set(key, { counter, tags, count: 1 });
  }

  #send(): void {
    for (const { counter, tags, count } of this.#occurrences.values()) {
      this.#client.increment(counter, count, tags);
    }
    this.#occurrences.clear();
  }

  #set({ gauge, value }: SetGauge): void {
    if (this.#gauges.get(gauge) === value) return;
    this.#gauges.set(gauge, value);
    this.#client.gauge(gauge, value);
  }
}
