import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  nextInt(bound: number): number;
}

const RANGE = 2 ** 32;

/** Creates a generator whose sequence depends only on the seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = (): number => (generator.next() >>> 0) / RANGE;
  return { next, nextInt: (bound) => Math.floor(next() * bound) };
}
