/**
 * Indexed priority queue: a map that finds its entry of lowest rank in logarithmic time. A change of rank
 * leaves a stale entry in the heap, which is dropped when it reaches the top.
 */
import TinyQueue from "tinyqueue";

/** Position of an entry: the lowest rank is first; `order` breaks ties, lowest first. */
export interface Position {
  readonly rank: number;
  readonly order: number;
}

interface Entry<Key, Value> extends Position {
  readonly key: Key;
  readonly value: Value;
}

/** Heap entries allowed beyond twice the number of keys before the heap is rebuilt without stale ones. */
const MAXIMUM_EXTRA_ENTRIES = 64;

/** Values by key, ordered by rank. */
export class IndexedPriorityQueue<Key, Value> {
  readonly #entries = new Map<Key, Entry<Key, Value>>();
  #heap = newHeap<Key, Value>([]);

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** Returns the value of a key. */
  get(key: Key): Value | undefined {
    return this.#entries.get(key)?.value;
  }

  /** Returns the position of a key. */
  positionOf(key: Key): Position | undefined {
    return this.#entries.get(key);
  }

  /** Returns all keys, in no particular order. */
  keys(): Iterable<Key> {
    return this.#entries.keys();
  }

  /** Stores a value at a position; replaces the previous value and position of the key. */
  set(key: Key, value: Value, position: Position): void {
    const entry = { key, value, rank: position.rank, order: position.order };
    this.#entries.set(key, entry);
    this.#heap.push(entry);
    if (this.#heap.length > 2 * this.#entries.size + MAXIMUM_EXTRA_ENTRIES) {
      this.#heap = newHeap([...this.#entries.values()]);
    }
  }

  /** Removes an entry. */
  delete(key: Key): void {
    this.#entries.delete(key);
  }

  /** Returns the entry of lowest rank. */
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
