/**
 * Records latencies and summarizes them as percentiles.
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

/** Records latencies in a histogram. */
export class LatencyRecorder {
  readonly #histogram: Histogram = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  /** Records one latency, in milliseconds. */
  add(milliseconds: number): void {
    this.#histogram.recordValue(
      Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND),
    );
  }

  /** Returns the percentiles of the latencies recorded so far. */
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
