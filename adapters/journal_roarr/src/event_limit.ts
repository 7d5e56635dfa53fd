/**
 * Bounds the lines of each kind of event, so that the volume does not grow with the load. What was left
 * out is counted, and told with the next line of the kind.
 */
import type { EventNumber, Milliseconds } from "@eelgrassfront/model";

/** Lines of one kind of event in a second. */
const LINES_PER_SECOND = 40;
/** Lines that may come at once after a quiet time. */
const BURST_LINES = 120;
const MILLISECONDS_PER_SECOND = 1_000;

interface Allowance {
  lines: number;
  countedAt: Milliseconds;
  suppressed: number;
}

/** Allowances by kind of event. */
export class EventLimit {
  readonly #allowances = new Map<EventNumber, Allowance>();

  /**
   * Whether a line of the kind may be written now.
   *
   * @returns the number of lines of the kind that were left out before it; undefined to leave it out
   */
  admit(number: EventNumber, now: Milliseconds): number | undefined {
    const allowance = this.#allowances.get(number) ??
      { lines: BURST_LINES, countedAt: now, suppressed: 0 };
    this.#allowances.set(number, allowance);
    const earned = (now - allowance.countedAt) * LINES_PER_SECOND /
      MILLISECONDS_PER_SECOND;
    allowance.lines = Math.min(BURST_LINES, allowance.lines + earned);
    allowance.countedAt = now;
    if (allowance.lines < 1) {
      allowance.suppressed += 1;
      return undefined;
    }
    allowance.lines -= 1;
    const { suppressed } = allowance;
    allowance.suppressed = 0;
    return suppressed;
  }
}
