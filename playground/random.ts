/** Seeded random numbers for reproducible runs. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number

/** Creates a generator whose sequence is determined by the seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Draws an exponentially distributed number. */
export function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean
}
