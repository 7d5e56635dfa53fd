/**
 * Keeps counters, gauges and histograms with prom-client and serves them as text over HTTP.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  BoundedHttpServer,
  type ClientRejection,
} from "@eelgrassfront/bounded-http";
import type { FrontLimitSettings } from "@eelgrassfront/front-limits";
import {
  assertNever,
  Counter,
  DispatchOutputKind,
  Gauge,
  Histogram,
  type IncrementCounter,
  type ObserveDuration,
  OutputKind,
  type SetGauge,
} from "@eelgrassfront/model";
import type { MetricsPort } from "@eelgrassfront/ports";
import {
  Counter as CounterMetric,
  Gauge as GaugeMetric,
  Histogram as HistogramMetric,
  Registry,
} from "prom-client";

/** Address that serves the metrics, and what the clients there may hold. */
export interface PrometheusMetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly limits: FrontLimitSettings;
  readonly onRejected: (rejection: ClientRejection) => void;
}

const PATH = "/metrics";
const PREFIX = "eelgrassfront_";
/** Upper bounds of the histogram buckets, from a round trip to the longest time that a client waits. */
const BUCKETS_MILLISECONDS = [
  2,
  5,
  12,
  25,
  50,
  100,
  200,
  400,
  800,
  1_600,
  3_200,
  6_400,
];

/** Records metrics and serves them. */
export class PrometheusMetrics implements MetricsPort {
  readonly #registry = new Registry();
  readonly #counters = new Map<Counter, CounterMetric>();
  readonly #gauges = new Map<Gauge, GaugeMetric>();
  readonly #histograms = new Map<Histogram, HistogramMetric>();
  #server: BoundedHttpServer | undefined;

  private constructor() {
    const registers = [this.#registry];
    for (const counter of Object.values(Counter)) {
      const name = metricName(counter);
      const metric = new CounterMetric({
        name,
        help: counter,
        labelNames: ["reason"],
        registers,
      });
      this.#counters.set(counter, metric);
    }
    for (const gauge of Object.values(Gauge)) {
      const name = metricName(gauge);
      this.#gauges.set(
        gauge,
        new GaugeMetric({ name, help: gauge, registers }),
      );
    }
    for (const histogram of Object.values(Histogram)) {
      const metric = new HistogramMetric({
        name: `${metricName(histogram)}_milliseconds`,
        help: histogram,
        labelNames: ["label"],
        buckets: BUCKETS_MILLISECONDS,
        registers,
      });
      this.#histograms.set(histogram, metric);
    }
  }

  /**
   * Starts to serve metrics on an address.
   *
   * @throws when the server cannot listen on the address
   */
  static async listen(
    { host, port, limits, onRejected }: PrometheusMetricsOptions,
  ): Promise<PrometheusMetrics> {
    const metrics = new PrometheusMetrics();
    metrics.#server = await BoundedHttpServer.listen({ host, port }, {
      name: "metrics",
      limits,
      serve: (request, response) => metrics.#serve(request, response),
      onRejected,
    });
    return metrics;
  }

  measure(output: IncrementCounter | SetGauge | ObserveDuration): void {
    switch (output.kind) {
      case OutputKind.IncrementCounter:
        this.#counters.get(output.counter)?.inc(
          output.reason === undefined ? {} : { reason: output.reason },
        );
        return;
      case OutputKind.SetGauge:
        this.#gauges.get(output.gauge)?.set(output.value);
        return;
      case DispatchOutputKind.ObserveDuration:
        this.#histograms.get(output.histogram)?.observe(
          { label: output.label },
          output.milliseconds,
        );
        return;
      default:
        assertNever(output);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#server?.[Symbol.asyncDispose]();
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    if (request.url !== PATH) {
      response.writeHead(404).end();
      return;
    }
    this.#registry.metrics().then((text) => {
      response.writeHead(200, { "content-type": "text/plain" }).end(text);
    }, (error: unknown) => {
      response.writeHead(500).end(String(error));
    });
  }
}

function metricName(name: string): string {
  return `${PREFIX}${name.replaceAll(".", "_")}`;
}
