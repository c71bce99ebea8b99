/**
 * Policies for choosing a target, by name. The default is `twoChoices`: of two targets drawn
 * at random, the one with fewer requests of this entry in flight. Reported loads are not
 * used, because they are outdated and would draw all entries to the same target
 * (docs/measurements.md). The other policies are for comparison.
 */
import { monotonicMs } from '../shared/index.js'
import { MAX_EXCLUDED_SHARE } from './constants.js'
import { acceptsRequests } from './target.js'
import type { Target } from './target.js'

/** Returns random numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number

/** Picks one of the candidates, of which there is at least one. */
export type Policy = (candidates: readonly Target[], random: Random) => Target

export type PolicyName = 'random' | 'roundRobin' | 'twoChoices' | 'twoChoicesReported'

const pick = (candidates: readonly Target[], random: Random): Target =>
  candidates[Math.floor(random() * candidates.length)]!

/**
 * Estimated load over all entries: the target's report and the own requests added
 * since.
 */
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

/** Functions that create each policy; some policies keep state. */
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
 * Targets that may receive a request now. Excluded targets are left out unless too large a
 * share is excluded: when most targets fail at once, the cause is not a single target.
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
