/**
 * Percentiles of latencies.
 */
import { build, type Histogram } from "hdr-histogram-js";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const SIGNIFICANT_DIGITS = 3;

/** Percentiles of a set of latencies, in milliseconds. */
export interface LatencySummary {
  readonly samples: number;
  readonly p50: number;
  readonly p99: number;
}

/** Collects latencies. */
export class LatencyRecorder {
  readonly #histogram: Histogram = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  /** Adds one latency, in milliseconds. */
  add(milliseconds: number): void {
    this.#histogram.recordValue(
      Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND),
    );
  }

  /** Percentiles of what was added. */
  summary(): LatencySummary {
    return {
      samples: this.#histogram.totalCount,
      p50: this.#percentile(50),
      p99: this.#percentile(99),
    };
  }

  #percentile(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) /
      MICROSECONDS_PER_MILLISECOND;
  }
}
