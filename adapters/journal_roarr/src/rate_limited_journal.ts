/**
 * The event log of a process on standard output, bounded under load and never blocking.
 */
import "./roarr_environment.ts";
import type { ProcessEvent, ProcessIdentifier } from "@eelgrassfront/model";
import type { JournalPort } from "@eelgrassfront/ports";
import { EventLimit } from "./event_limit.ts";
import { LineWriter, StandardStream } from "./line_writer.ts";
import { RoarrJournal } from "./roarr_journal.ts";

/** Writes events with roarr, within bounds. */
export class RateLimitedJournal implements JournalPort, AsyncDisposable {
  readonly #writer = new LineWriter(StandardStream.Output);
  readonly #limit = new EventLimit();
  readonly #journal: RoarrJournal;

  constructor(self: ProcessIdentifier) {
    this.#journal = new RoarrJournal(self, (line) => this.#writer.write(line));
  }

  record(event: ProcessEvent): void {
    const suppressed = this.#limit.admit(event.number, performance.now());
    if (suppressed === undefined) return;
    const dropped = this.#writer.takeDropped();
    const isWhole = suppressed === 0 && dropped === 0;
    const context = isWhole ? event.context : {
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
