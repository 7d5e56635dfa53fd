/**
 * A map that forgets: entries older than a horizon, and the oldest entries when their weight together
 * exceeds a bound. Insertion order is age order, so that forgetting costs time only for what goes.
 */
import type { Milliseconds } from "@eelgrassfront/model";

/** Bounds of a map, and what to do with entries that go for their weight. */
export interface ExpiringMapOptions<Key, Value> {
  readonly horizonMilliseconds: Milliseconds;
  readonly maximumWeight: number;
  /** Weight of an entry, in the unit of the maximum. */
  readonly weigh: (value: Value) => number;
  /** Told of each entry that goes before its time. */
  readonly onEviction?: (key: Key, value: Value, now: Milliseconds) => void;
}

interface Kept<Value> {
  readonly value: Value;
  readonly storedAt: Milliseconds;
  readonly weight: number;
}

/** A map bounded by age and weight. */
export class ExpiringMap<Key, Value> {
  readonly #options: ExpiringMapOptions<Key, Value>;
  readonly #entries = new Map<Key, Kept<Value>>();
  #weight = 0;

  constructor(options: ExpiringMapOptions<Key, Value>) {
    this.#options = options;
  }

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** Weight of all entries together. */
  get weight(): number {
    return this.#weight;
  }

  /** Finds a value. */
  get(key: Key): Value | undefined {
    return this.#entries.get(key)?.value;
  }

  /** Stores a value as the newest entry. */
  set(now: Milliseconds, key: Key, value: Value): void {
    this.delete(key);
    const weight = this.#options.weigh(value);
    this.#entries.set(key, { value, storedAt: now, weight });
    this.#weight += weight;
    this.purge(now);
  }

  /** Removes an entry. */
  delete(key: Key): boolean {
    const kept = this.#entries.get(key);
    if (kept === undefined) return false;
    this.#weight -= kept.weight;
    return this.#entries.delete(key);
  }

  /** All values, oldest first. */
  *values(): Iterable<Value> {
    for (const { value } of this.#entries.values()) yield value;
  }

  /** All entries, oldest first. */
  *entries(): Iterable<readonly [Key, Value]> {
    for (const [key, { value }] of this.#entries) yield [key, value];
  }

  /** Forgets what has gone past its bounds. */
  purge(now: Milliseconds): void {
    const { horizonMilliseconds, maximumWeight, onEviction } = this.#options;
    for (const [key, kept] of this.#entries) {
      const isExpired = now - kept.storedAt > horizonMilliseconds;
      if (!isExpired && this.#weight <= maximumWeight) return;
      this.delete(key);
      if (!isExpired) onEviction?.(key, kept.value, now);
    }
  }
}
