/**
 * Random numbers from a seed.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers that a seed determines. */
export class SeededRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A number from 0 up to 1. */
  next(): number {
    return uniformFloat64(this.#generator);
  }

  /** A number between two bounds. */
  between(lowest: number, highest: number): number {
    return lowest + (highest - lowest) * this.next();
  }

  /** A whole number from 0 up to a bound. */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Whether something of this probability happens. */
  happens(probability: number): boolean {
    return this.next() < probability;
  }

  /** One of the items. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.next() * items.length)];
  }
}
