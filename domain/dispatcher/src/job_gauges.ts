/**
 * Gauges of an entry's jobs, set when they change.
 */
import {
  type DispatchOutput,
  Gauge,
  type OutputCollector,
  OutputKind,
} from "@eelgrassfront/model";

/** Collaborators of a `JobGauges`. */
export interface JobGaugesOptions {
  readonly collector: OutputCollector<DispatchOutput>;
}

/** Sets the gauges of queued and running jobs. */
export class JobGauges {
  readonly #options: JobGaugesOptions;
  readonly #lastValues = new Map<Gauge, number>();

  constructor(options: JobGaugesOptions) {
    this.#options = options;
  }

  /** Sets the gauges that have changed. */
  update(queued: number, running: number): void {
    this.#set(Gauge.QueuedJobs, queued);
    this.#set(Gauge.RunningJobs, running);
  }

  #set(gauge: Gauge, value: number): void {
    if (this.#lastValues.get(gauge) === value) return;
    this.#lastValues.set(gauge, value);
    this.#options.collector.add({ kind: OutputKind.SetGauge, gauge, value });
  }
}
