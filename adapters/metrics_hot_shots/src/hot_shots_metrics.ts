/**
 * Sends counters, gauges and histograms to a StatsD receiver over UDP with hot-shots. Occurrences are
 * summed between two flushes, so that the number of counter messages does not grow with the load. When the
 * receiver is unreachable, datagrams are dropped without an error.
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

/** Address of the receiver, and the process that the metrics describe. */
export interface HotShotsMetricsOptions {
  readonly self: ProcessIdentifier;
  readonly host: string;
  readonly port: number;
}

/** Occurrences of one counter with the same tags since the last flush. */
interface PendingCount {
  readonly counter: string;
  readonly tags: string[];
  count: number;
}

const COUNTER_FLUSH_MILLISECONDS = 1_000;
const BUFFER_FLUSH_MILLISECONDS = 100;
const MAXIMUM_DATAGRAM_BYTES = 1_400;

/** Sends metrics with hot-shots. */
export class HotShotsMetrics implements MetricsPort {
  readonly #client: StatsD;
  readonly #gauges = new Map<string, number>();
  readonly #pendingCounts = new Map<string, PendingCount>();
  readonly #timer: NodeJS.Timeout;

  constructor(options: HotShotsMetricsOptions) {
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: "eelgrassfront.",
      globalTags: { process: processName(options.self) },
      bufferFlushInterval: BUFFER_FLUSH_MILLISECONDS,
      maxBufferSize: MAXIMUM_DATAGRAM_BYTES,
      errorHandler: () => {},
    });
    this.#timer = setInterval(
      () => this.#flushCounts(),
      COUNTER_FLUSH_MILLISECONDS,
    );
  }

  measure(output: IncrementCounter | SetGauge | ObserveDuration): void {
    switch (output.kind) {
      case OutputKind.IncrementCounter:
        this.#count(output);
        return;
      case OutputKind.SetGauge:
        this.#setGauge(output);
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
    this.#flushCounts();
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }

  #count({ counter, reason }: IncrementCounter): void {
    const key = `${counter} ${reason ?? ""}`;
    const known = this.#pendingCounts.get(key);
    if (known !== undefined) {
      known.count += 1;
      return;
    }
    const tags = reason === undefined ? [] : [`reason:${reason}`];
    this.#pendingCounts.set(key, { counter, tags, count: 1 });
  }

  #flushCounts(): void {
    for (const { counter, tags, count } of this.#pendingCounts.values()) {
      this.#client.increment(counter, count, tags);
    }
    this.#pendingCounts.clear();
  }

  #setGauge({ gauge, value }: SetGauge): void {
    if (this.#gauges.get(gauge) === value) return;
    this.#gauges.set(gauge, value);
    this.#client.gauge(gauge, value);
  }
}
