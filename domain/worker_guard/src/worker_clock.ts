/**
 * The worker's clock as a sidecar knows it. The lease of a run ends at a time on that clock. It also shows that
 * the sidecar's VM was suspended: the worker's clock went on meanwhile, and the sidecar's own did not.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Largest rate at which the worker's clock may run slower than that of the sidecar. */
const MAXIMUM_DRIFT = 0.03;

interface ClockReading {
  /** Time on the worker's clock. */
  readonly clock: Milliseconds;
  readonly readAt: Milliseconds;
}

/** Estimates the clock of one worker incarnation from its answers and reports, which may arrive late. */
export class WorkerClock {
  /** The latest reading that was not delayed. */
  #reference: ClockReading | undefined;
  #latest: ClockReading | undefined;
  #suspended: Milliseconds = 0;

  /** Records a reading that arrived now. */
  record(now: Milliseconds, clock: Milliseconds): void {
    const reading = { clock, readAt: now };
    this.#latest = reading;
    if (this.#reference === undefined) {
      this.#reference = reading;
      return;
    }
    const elapsed = now - this.#reference.readAt;
    const ahead = clock - (this.#reference.clock + elapsed);
    if (ahead < -MAXIMUM_DRIFT * elapsed) return;
    this.#reference = reading;
    if (ahead > 0) this.#suspended = Math.max(this.#suspended, ahead);
  }

  /** Returns the estimated time on the worker's clock. */
  at(now: Milliseconds): Milliseconds {
    const { clock, readAt } = this.#latest ?? { clock: 0, readAt: now };
    return clock + (now - readAt);
  }

  /** Returns how far the worker's clock has run ahead since the last call, at most. */
  takeSuspension(): Milliseconds {
    const suspended = this.#suspended;
    this.#suspended = 0;
    return suspended;
  }
}
