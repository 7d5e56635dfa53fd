/**
 * Deterministic random numbers.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A pseudorandom generator: the same seed gives the same sequence. */
export class SeededRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a number of at least 0 and less than 1. */
  next(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns a number of at least `lowest` and less than `highest`. */
  between(lowest: number, highest: number): number {
    return lowest + (highest - lowest) * this.next();
  }

  /** Returns an integer of at least 0 and less than `bound`. */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns true with this probability. */
  happens(probability: number): boolean {
    return this.next() < probability;
  }

  /** Returns a random item; undefined when there are none. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.next() * items.length)];
  }
}
