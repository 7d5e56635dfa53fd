/**
 * Records an event when the process may no longer act on its view of the log.
 */
import {
  EventNumber,
  type OutputCollector,
  Severity,
} from "@eelgrassfront/model";

/** Detects the transition from a fresh to a stale view. */
export class IsolationDetector {
  readonly #collector: OutputCollector;
  #wasFresh = false;

  constructor(collector: OutputCollector) {
    this.#collector = collector;
  }

  /** Observes whether the view is fresh now. */
  observe(isFresh: boolean): void {
    const isLost = this.#wasFresh && !isFresh;
    this.#wasFresh = isFresh;
    if (!isLost) return;
    this.#collector.record(
      EventNumber.ProcessIsolated,
      "neither the log nor a majority of witnesses confirms the view",
      { severity: Severity.Warning },
    );
  }
}
