/**
 * Counters, gauges and histograms sent with hot-shots.
 */
export * from "./hot_shots_metrics.ts";
