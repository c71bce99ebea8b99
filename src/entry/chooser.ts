/**
 * Choosing a target: a lookup table of policies. `twoChoices` serves: the lighter of two
 * drawn at random, so that entries with the same old reports do not all send to the same
 * target. The others leave out a part of it and show what that is worth.
 */
import { monotonicMs } from '../shared/index.js'
import { MAX_EXCLUDED_SHARE } from './constants.js'
import { acceptsRequests } from './target.js'
import type { Target } from './target.js'

/** A source of random numbers from 0 up to 1. */
export type Random = () => number

/** Picks one of at least one candidates. */
export type Policy = (candidates: readonly Target[], random: Random) => Target

/** Name of a policy. */
export type PolicyName = 'random' | 'roundRobin' | 'twoChoices' | 'twoChoicesReported'

const pick = (candidates: readonly Target[], random: Random): Target =>
  candidates[Math.floor(random() * candidates.length)]!

/** Load on the target over all entries: what it reported, and what we added since. */
export function estimatedLoad(target: Target): number {
  const added = target.inFlight - target.inFlightAtReport
  return Math.max(target.inFlight, target.reportedLoad + added)
}

function lighterOfTwo(load: (target: Target) => number): Policy {
  return (candidates, random) => {
    const first = pick(candidates, random)
    if (candidates.length === 1) return first
    let second = pick(candidates, random)
    while (second === first) second = pick(candidates, random)
    return load(second) < load(first) ? second : first
  }
}

/** Creates the policy of that name; some keep state of their own. */
export const POLICIES: Record<PolicyName, () => Policy> = {
  random: () => pick,
  roundRobin: () => {
    let turn = 0
    return (candidates) => candidates[turn++ % candidates.length]!
  },
  twoChoices: () => lighterOfTwo((target) => target.inFlight),
  twoChoicesReported: () => lighterOfTwo(estimatedLoad),
}

/**
 * Targets that may get a request now. Excluded ones stay out unless too large a share
 * is excluded: when most fail at once, the cause is not the target.
 */
export function eligibleTargets(
  targets: readonly Target[],
  tried: ReadonlySet<Target>,
): Target[] {
  const working = targets.filter((target) => acceptsRequests(target))
  const now = monotonicMs()
  const admitted = working.filter((target) => target.excludedUntil <= now)
  const excludedShare = 1 - admitted.length / Math.max(1, working.length)
  const pool = excludedShare > MAX_EXCLUDED_SHARE ? working : admitted
  return pool.filter((target) => !tried.has(target) && target.inFlight < target.slots)
}
