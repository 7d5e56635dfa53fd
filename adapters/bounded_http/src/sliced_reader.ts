/**
 * Passes the data of a connection to the HTTP parser in slices. One read of a connection may contain thousands of
 * requests or chunks; between two slices a pause takes effect, and what is not yet parsed is kept as it was read.
 */

/** Largest slice: enough for most requests, and at most 230 of the smallest ones. */
const SLICE_BYTES = 4_096;
const EMPTY = Buffer.alloc(0);

/** Where the data goes and when. */
export interface SlicedReaderOptions {
  readonly parse: (data: Buffer) => void;
  readonly mayContinue: () => boolean;
}

/** Data of one connection that was read and not yet parsed. */
export class SlicedReader {
  readonly #options: SlicedReaderOptions;
  #rest: Buffer = EMPTY;

  constructor(options: SlicedReaderOptions) {
    this.#options = options;
  }

  /** Bytes that were read and not yet parsed. */
  get pendingBytes(): number {
    return this.#rest.length;
  }

  /** Parses data, as far as the connection may continue. */
  receive(data: Buffer): void {
    this.#rest = this.#rest.length === 0
      ? data
      : Buffer.concat([this.#rest, data]);
    this.continue();
  }

  /** Parses data that was kept, as far as the connection may continue. */
  continue(): void {
    const { parse, mayContinue } = this.#options;
    while (this.#rest.length > 0 && mayContinue()) {
      const slice = this.#rest.subarray(0, SLICE_BYTES);
      this.#rest = this.#rest.length > SLICE_BYTES
        ? this.#rest.subarray(SLICE_BYTES)
        : EMPTY;
      parse(slice);
    }
  }
}
