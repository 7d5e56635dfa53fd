/**
 * Bounds the memory of all bodies that are being read at once, whatever the number of connections.
 */

/** A number of bytes that bodies share. */
export class BodyBudget {
  readonly #maximumBytes: number;
  #usedBytes = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Bytes in use. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Opens an account for one body; disposing of it gives its bytes back. */
  open(): BodyAccount {
    return new BodyAccount((bytes) => this.#change(bytes));
  }

  #change(bytes: number): boolean {
    if (bytes > 0 && this.#usedBytes + bytes > this.#maximumBytes) return false;
    this.#usedBytes += bytes;
    return true;
  }
}

/** The bytes of one body. */
export class BodyAccount implements Disposable {
  readonly #change: (bytes: number) => boolean;
  #bytes = 0;

  constructor(change: (bytes: number) => boolean) {
    this.#change = change;
  }

  /** Takes bytes for this body; false when the budget is used up. */
  tryTake(bytes: number): boolean {
    if (!this.#change(bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  [Symbol.dispose](): void {
    this.#change(-this.#bytes);
    this.#bytes = 0;
  }
}
