/**
 * Notes when a process that could act on its view of the log no longer may.
 */
import {
  EventNumber,
  type OutputCollector,
  Severity,
} from "@eelgrassfront/model";

/** Turns losses of freshness into events. */
export class IsolationWatch {
  readonly #collector: OutputCollector;
  #wasFresh = false;

  constructor(collector: OutputCollector) {
    this.#collector = collector;
  }

  /** Takes whether the view is fresh now. */
  note(isFresh: boolean): void {
    const isLost = this.#wasFresh && !isFresh;
    this.#wasFresh = isFresh;
    if (!isLost) return;
    this.#collector.record(
      EventNumber.ProcessIsolated,
      "neither the log nor a majority confirms the view",
      { severity: Severity.Warning },
    );
  }
}
