/**
 * Counters and gauges sent to a StatsD receiver over UDP by hot-shots. A lost receiver disturbs
 * nothing: the datagrams are dropped.
 */
import {
  assertNever,
  type CountOccurrence,
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

const FLUSH_MILLISECONDS = 1_000;
const MAXIMUM_DATAGRAM_BYTES = 1_400;

/** Sends metrics with hot-shots. */
export class HotShotsMetrics implements MetricsPort {
  readonly #client: StatsD;
  readonly #gauges = new Map<string, number>();

  constructor(options: HotShotsMetricsOptions) {
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: "eelgrassfront.",
      globalTags: { process: processName(options.self) },
      bufferFlushInterval: FLUSH_MILLISECONDS,
      maxBufferSize: MAXIMUM_DATAGRAM_BYTES,
      errorHandler: () => {},
    });
  }

  measure(output: CountOccurrence | SetGauge): void {
    switch (output.kind) {
      case OutputKind.CountOccurrence:
        this.#count(output);
        return;
      case OutputKind.SetGauge:
        this.#set(output);
        return;
      default:
        assertNever(output);
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }

  #count({ counter, reason }: CountOccurrence): void {
    const tags = reason === undefined ? [] : [`reason:${reason}`];
    this.#client.increment(counter, tags);
  }

  #set({ gauge, value }: SetGauge): void {
    if (this.#gauges.get(gauge) === value) return;
    this.#gauges.set(gauge, value);
    this.#client.gauge(gauge, value);
  }
}
