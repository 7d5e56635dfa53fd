/**
 * Writes lines to a stream without blocking. Lines are buffered for a short time and written together.
 * When the reader cannot keep up, lines are dropped and counted.
 */
import { createWriteStream, type WriteStream } from "node:fs";
import type { Milliseconds } from "@eelgrassfront/model";

/** File descriptors of the standard streams. */
export enum StandardStream {
  Output = 1,
  Error = 2,
}

/**
 * Time for which lines are buffered; too short for an operator to notice. Each write takes a thread of the pool and
 * wakes the process twice. A process that is killed loses the buffered lines.
 */
const BUFFER_MILLISECONDS: Milliseconds = 250;
/** Size of the unwritten text, in bytes, above which new lines are dropped. */
const MAXIMUM_PENDING_BYTES = 1024 * 1024;

/** Writes lines in the background. */
export class LineWriter implements AsyncDisposable {
  readonly #stream: WriteStream;
  #lines: string[] = [];
  #pendingBytes = 0;
  #timer: NodeJS.Timeout | undefined;
  #dropped = 0;

  constructor(stream: StandardStream) {
    // A file stream writes from the thread pool, so that a full pipe does not block the event loop.
    this.#stream = createWriteStream("", { fd: stream, autoClose: false });
    // The stream has no reader any more, so the error cannot be reported anywhere.
    this.#stream.on("error", () => this.#dropped += 1);
  }

  /** Returns the number of lines dropped since the last call. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  /** Buffers a line, or drops it when too much text is unwritten. */
  write(line: string): void {
    if (this.#pendingBytes > MAXIMUM_PENDING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#timer ??= setTimeout(() => this.#flush(), BUFFER_MILLISECONDS);
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
    this.#pendingBytes += text.length;
    this.#stream.write(text, () => this.#pendingBytes -= text.length);
  }
}
