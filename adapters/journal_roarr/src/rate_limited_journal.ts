/**
 * Event log of a process on standard output. The rate of lines is limited, and writing never blocks.
 */
import "./roarr_environment.ts";
import type { ProcessEvent, ProcessIdentifier } from "@eelgrassfront/model";
import type { JournalPort } from "@eelgrassfront/ports";
import { EventRateLimiter } from "./event_rate_limiter.ts";
import { LineWriter, StandardStream } from "./line_writer.ts";
import { RoarrJournal } from "./roarr_journal.ts";

/** Writes events with roarr and reports how many lines it left out. */
export class RateLimitedJournal implements JournalPort, AsyncDisposable {
  readonly #writer = new LineWriter(StandardStream.Output);
  readonly #rateLimiter = new EventRateLimiter();
  readonly #journal: RoarrJournal;

  constructor(self: ProcessIdentifier) {
    this.#journal = new RoarrJournal(self, (line) => this.#writer.write(line));
  }

  record(event: ProcessEvent): void {
    const suppressed = this.#rateLimiter.admit(event.number, performance.now());
    if (suppressed === undefined) return;
    const dropped = this.#writer.takeDropped();
    const isComplete = suppressed === 0 && dropped === 0;
    const context = isComplete ? event.context : {
      ...event.context,
      suppressedLines: suppressed,
      droppedLines: dropped,
    };
    this.#journal.record({ ...event, context });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#writer[Symbol.asyncDispose]();
  }
}
