/**
 * Counters, gauges and histograms served as text.
 */
export * from "./prometheus_metrics.ts";
