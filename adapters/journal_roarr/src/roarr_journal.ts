/**
 * Event log of a process: one JSON line per event, written by roarr.
 */
import "./roarr_environment.ts";
import {
  assertNever,
  type ProcessEvent,
  type ProcessIdentifier,
  Severity,
} from "@eelgrassfront/model";
import type { JournalPort } from "@eelgrassfront/ports";
import { ROARR, Roarr } from "roarr";

/** Writes events with roarr. */
export class RoarrJournal implements JournalPort {
  readonly #logger: typeof Roarr;

  /**
   * Creates the journal of a process.
   *
   * @param write receives each line; by default it writes to standard error
   */
  constructor(
    self: ProcessIdentifier,
    write: (line: string) => void = writeToStandardError,
  ) {
    ROARR.write = write;
    this.#logger = Roarr.child({ package: "eelgrassfront", process: self });
  }

  record(event: ProcessEvent): void {
    const context = { ...event.context, event: event.number };
    switch (event.severity) {
      case Severity.Debug:
        this.#logger.debug(context, event.message);
        return;
      case Severity.Information:
        this.#logger.info(context, event.message);
        return;
      case Severity.Warning:
        this.#logger.warn(context, event.message);
        return;
      case Severity.Error:
        this.#logger.error(context, event.message);
        return;
      default:
        assertNever(event.severity);
    }
  }
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}
