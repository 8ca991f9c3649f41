import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Source of pseudo-random numbers. */
export interface IRandom {
  /** Returns a number in [0, 1). */
  float(): number;
  /** Returns an integer in [from, to], both included. */
  integer(from: number, to: number): number;
}

/** Deterministic generator: equal seeds give equal sequences of numbers. */
export class SeededRandom implements IRandom {
  private readonly generator;

  /** @param seed - Any 32-bit integer. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  float(): number {
    return uniformFloat64(this.generator);
  }

  integer(from: number, to: number): number {
    return uniformInt(this.generator, from, to);
  }

  /**
   * Picks a random item.
   *
   * @param items - Non-empty array.
   * @returns One of the items, each equally likely.
   */
  pick<T>(items: readonly T[]): T {
    return items[this.integer(0, items.length - 1)];
  }
}
