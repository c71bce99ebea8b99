/** Seeded random numbers, so that a run can be repeated. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of numbers from 0 up to 1. */
export type Random = () => number

/** Creates a source that gives the same numbers for the same seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** An exponentially distributed number with that mean. */
export function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean
}
