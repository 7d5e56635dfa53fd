/**
 * Record of one run of a case: what was sent, answered and run, with the time since the start of the case.
 */
import { createWriteStream } from "node:fs";

/** Writes one line for each event. */
export class Recorder {
  #startedAt = performance.now();
  #stream;

  /** @param {string} path the file that is written anew */
  constructor(path) {
    this.#stream = createWriteStream(path);
  }

  /** Milliseconds since the start of the case. */
  now() {
    return performance.now() - this.#startedAt;
  }

  /** Writes a line. */
  line(text) {
    const seconds = (this.now() / 1_000).toFixed(3).padStart(8);
    this.#stream.write(`${seconds} ${text}\n`);
  }

  /** Writes what is buffered, and closes the file. */
  close() {
    return new Promise((resolve) => this.#stream.end(resolve));
  }
}
