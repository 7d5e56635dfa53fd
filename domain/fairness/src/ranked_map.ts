/**
 * A map whose entry of the lowest rank is found in logarithmic time. A changed rank leaves its old heap
 * entry behind, which is dropped when it comes to the top.
 */
import TinyQueue from "tinyqueue";

/** Position of an entry: the lowest rank is first, and of equal ranks the lowest order. */
export interface Position {
  readonly rank: number;
  readonly order: number;
}

interface Entry<Key, Value> extends Position {
  readonly key: Key;
  readonly value: Value;
}

/** Stale heap entries that are tolerated beyond twice the number of keys. */
const STALE_ALLOWANCE = 64;

/** Values by key, lowest rank first. */
export class RankedMap<Key, Value> {
  readonly #entries = new Map<Key, Entry<Key, Value>>();
  #heap = newHeap<Key, Value>([]);

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** Finds a value. */
  get(key: Key): Value | undefined {
    return this.#entries.get(key)?.value;
  }

  /** The position of a key. */
  positionOf(key: Key): Position | undefined {
    return this.#entries.get(key);
  }

  /** All keys, in no order. */
  keys(): Iterable<Key> {
    return this.#entries.keys();
  }

  /** Stores a value, or moves it to another position. */
  set(key: Key, value: Value, position: Position): void {
    const entry = { key, value, rank: position.rank, order: position.order };
    this.#entries.set(key, entry);
    this.#heap.push(entry);
    if (this.#heap.length > 2 * this.#entries.size + STALE_ALLOWANCE) {
      this.#heap = newHeap([...this.#entries.values()]);
    }
  }

  /** Removes an entry. */
  delete(key: Key): void {
    this.#entries.delete(key);
  }

  /** The entry of the lowest rank. */
  first(): Readonly<Entry<Key, Value>> | undefined {
    for (;;) {
      const entry = this.#heap.peek();
      if (entry === undefined) return undefined;
      if (this.#entries.get(entry.key) === entry) return entry;
      this.#heap.pop();
    }
  }
}

function newHeap<Key, Value>(
  entries: Entry<Key, Value>[],
): TinyQueue<Entry<Key, Value>> {
  return new TinyQueue(
    entries,
    (left, right) => left.rank - right.rank || left.order - right.order,
  );
}
