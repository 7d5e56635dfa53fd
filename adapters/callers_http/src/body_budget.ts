/**
 * Limits the memory of all bodies that are being read, regardless of the number of connections.
 */

/** A number of bytes that all bodies share. */
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

  /** Opens a reservation for one body; its disposal returns the bytes to the budget. */
  openReservation(): BodyReservation {
    return new BodyReservation((bytes) => this.#change(bytes));
  }

  #change(bytes: number): boolean {
    if (bytes > 0 && this.#usedBytes + bytes > this.#maximumBytes) return false;
    this.#usedBytes += bytes;
    return true;
  }
}

/** The bytes that one body has reserved. */
export class BodyReservation implements Disposable {
  readonly #change: (bytes: number) => boolean;
  #bytes = 0;

  constructor(change: (bytes: number) => boolean) {
    this.#change = change;
  }

  /** Reserves bytes for this body; returns false when they exceed the budget. */
  reserve(bytes: number): boolean {
    if (!this.#change(bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  [Symbol.dispose](): void {
    this.#change(-this.#bytes);
    this.#bytes = 0;
  }
}
