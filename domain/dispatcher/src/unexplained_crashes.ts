/**
 * Crashes of workers that no run explains: nothing had just begun there. They show that workers crash for other
 * reasons at the time, as in an outage, which ends several workers within a moment. A sidecar notices the end of
 * its worker some time later, so the crashes of one outage are reported one after the other.
 */
import type {
  DispatchOutput,
  Milliseconds,
  OutputCollector,
} from "@eelgrassfront/model";

/** Longest time between the reports of two crashes that may have one cause. */
const OUTAGE_MILLISECONDS: Milliseconds = 250;
/** How long a crash shows that workers crash for other reasons than their runs. */
const MEMORY_MILLISECONDS: Milliseconds = 30_000;
/** Many times the workers of a service that may crash at once. */
const MAXIMUM_CRASHES = 1_000;

/** Collaborators of an `UnexplainedCrashes`. */
export interface UnexplainedCrashesOptions {
  readonly collector: Pick<OutputCollector<DispatchOutput>, "now">;
}

/** Remembers the crashes that no run explains. */
export class UnexplainedCrashes {
  readonly #options: UnexplainedCrashesOptions;
  /** Times of the reports, the oldest first. */
  #times: Milliseconds[] = [];

  constructor(options: UnexplainedCrashesOptions) {
    this.#options = options;
  }

  /** Whether any such crash is remembered. */
  get isAny(): boolean {
    return this.#times.length > 0;
  }

  /** Records a crash that is reported now. */
  record(): void {
    this.#times.push(this.#options.collector.now);
    if (this.#times.length > MAXIMUM_CRASHES) this.#times.shift();
  }

  /** Whether a crash at a time may have the same cause as one of them. */
  isNear(time: Milliseconds): boolean {
    const from = time - OUTAGE_MILLISECONDS;
    const until = time + OUTAGE_MILLISECONDS;
    const candidate = this.#times.findLast((at) => at <= until);
    return candidate !== undefined && candidate >= from;
  }

  /** Forgets old crashes. */
  purge(): void {
    const from = this.#options.collector.now - MEMORY_MILLISECONDS;
    this.#times = this.#times.filter((at) => at >= from);
  }
}
