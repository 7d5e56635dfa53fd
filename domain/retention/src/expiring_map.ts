/**
 * Map that expires entries older than a horizon and evicts the oldest entries when the total weight exceeds
 * a bound. Insertion order is age order, so the cost depends only on the number of removed entries.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Bounds of a map, and a callback for evicted entries. */
export interface ExpiringMapOptions<Key, Value> {
  readonly horizonMilliseconds: Milliseconds;
  readonly maximumWeight: number;
  /** Returns the weight of an entry, in the unit of `maximumWeight`. */
  readonly weigh: (value: Value) => number;
  /** Called for each entry that is evicted for weight before it has expired. */
  readonly onEviction?: (key: Key, value: Value, now: Milliseconds) => void;
}

interface StoredEntry<Value> {
  readonly value: Value;
  readonly storedAt: Milliseconds;
  readonly weight: number;
}

/** Map bounded by age and total weight. */
export class ExpiringMap<Key, Value> {
  readonly #options: ExpiringMapOptions<Key, Value>;
  readonly #entries = new Map<Key, StoredEntry<Value>>();
  #weight = 0;

  constructor(options: ExpiringMapOptions<Key, Value>) {
    this.#options = options;
  }

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** Total weight of all entries. */
  get weight(): number {
    return this.#weight;
  }

  /** Returns the value of a key. */
  get(key: Key): Value | undefined {
    return this.#entries.get(key)?.value;
  }

  /** Stores a value as the newest entry and removes entries beyond the bounds. */
  set(now: Milliseconds, key: Key, value: Value): void {
    this.delete(key);
    const weight = this.#options.weigh(value);
    this.#entries.set(key, { value, storedAt: now, weight });
    this.#weight += weight;
    this.purge(now);
  }

  /** Removes an entry. Returns whether the entry was present. */
  delete(key: Key): boolean {
    const entry = this.#entries.get(key);
    if (entry === undefined) return false;
    this.#weight -= entry.weight;
    return this.#entries.delete(key);
  }

  /** Yields all values, oldest first. */
  *values(): Iterable<Value> {
    for (const { value } of this.#entries.values()) yield value;
  }

  /** Yields all entries, oldest first. */
  *entries(): Iterable<readonly [Key, Value]> {
    for (const [key, { value }] of this.#entries) yield [key, value];
  }

  /** Removes expired entries, and the oldest entries while the weight exceeds its bound. */
  purge(now: Milliseconds): void {
    const { horizonMilliseconds, maximumWeight, onEviction } = this.#options;
    for (const [key, entry] of this.#entries) {
      const isExpired = now - entry.storedAt > horizonMilliseconds;
      if (!isExpired && this.#weight <= maximumWeight) return;
      this.delete(key);
      if (!isExpired) onEviction?.(key, entry.value, now);
    }
  }
}
