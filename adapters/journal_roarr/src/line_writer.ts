/**
 * Writes lines to a stream without ever waiting for it. Lines are gathered for a moment and written
 * together; when the reader is slower than the lines come, lines are dropped and counted.
 */
import { createWriteStream, type WriteStream } from "node:fs";
import type { Milliseconds } from "@eelgrassfront/model";

/** Streams that every process has. */
export enum StandardStream {
  Output = 1,
  Error = 2,
}

/** Time in which lines are gathered; an operator does not notice it. */
const GATHER_MILLISECONDS: Milliseconds = 50;
/** Bytes that may wait for a slow reader. */
const MAXIMUM_WAITING_BYTES = 1024 * 1024;

/** Writes lines in the background. */
export class LineWriter implements AsyncDisposable {
  readonly #stream: WriteStream;
  #lines: string[] = [];
  #waitingBytes = 0;
  #timer: NodeJS.Timeout | undefined;
  #dropped = 0;

  constructor(stream: StandardStream) {
    // A file stream writes from the thread pool, so that a full pipe does not stop the loop.
    this.#stream = createWriteStream("", { fd: stream, autoClose: false });
    // Nobody reads any more: there is nowhere left to tell it.
    this.#stream.on("error", () => this.#dropped += 1);
  }

  /** Lines that were dropped since the last question. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  /** Adds a line. */
  write(line: string): void {
    if (this.#waitingBytes > MAXIMUM_WAITING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#timer ??= setTimeout(() => this.#flush(), GATHER_MILLISECONDS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#flush();
    await new Promise((resolve) => this.#stream.end(resolve));
  }

  #flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#lines.length === 0) return;
    const text = `${this.#lines.join("\n")}\n`;
    this.#lines = [];
    this.#waitingBytes += text.length;
    this.#stream.write(text, () => this.#waitingBytes -= text.length);
  }
}
