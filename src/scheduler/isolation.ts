/**
 * Isolates tasks that may have crashed a target until one of their runs is stable, so that a
 * further crash has a single likely cause and affects a single target.
 */
import { hasSoleSuspect, hasSuspectRunning } from '../jobs/index.js'
import type { Step } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Largest share of the targets that may be isolated for suspects at the same time. */
const MAX_ISOLATED_SHARE = 0.2
/** Time for which a crashed isolated target still counts as isolated, in ms: its VM restarts. */
const RESTART_MS = 2000

/** Isolation of crash suspects by one owner. */
export interface Isolation {
  /** Records the crash of an isolated target. */
  noteCrash(): void
  /** Begins a round of planning. */
  begin(agents: readonly TargetAgent[]): IsolationRound
}

/** Isolation rules for one round of planning. */
export interface IsolationRound {
  /** Whether isolation of the target or of the step keeps the step from the target. */
  forbids(agent: TargetAgent, step: Step): boolean
  /** Records a start planned in this round. */
  planned(agent: TargetAgent, step: Step): void
}

/** Creates the isolation of one owner. */
export function createIsolation(): Isolation {
  let crashTimes: number[] = []

  return {
    noteCrash: () => void crashTimes.push(monotonicMs()),
    begin(agents) {
      const now = monotonicMs()
      crashTimes = crashTimes.filter((at) => now - at < RESTART_MS)
      return createRound(agents, crashTimes.length)
    },
  }
}

/** @param recentCrashes number of isolated targets that crashed within RESTART_MS */
function createRound(
  agents: readonly TargetAgent[],
  recentCrashes: number,
): IsolationRound {
  const isolated = new Set(agents.filter((agent) => agent.isIsolated()))
  const usable = agents.filter((agent) => agent.isUsable() || isolated.has(agent))
  const maxIsolated = Math.max(1, Math.floor(usable.length * MAX_ISOLATED_SHARE))
  const plannedAgents = new Set<TargetAgent>()
  const plannedSteps = new Set<Step>()

  return {
    forbids(agent, step) {
      if (isolated.has(agent)) return true
      if (step.crashSuspects.size === 0) return false
      if (plannedSteps.has(step) || hasSuspectRunning(step)) return true
      // A sole suspect is likely to crash again: targets still restarting count against the limit.
      const slotsLeft =
        maxIsolated - isolated.size - (hasSoleSuspect(step) ? recentCrashes : 0)
      return slotsLeft <= 0 || plannedAgents.has(agent) || agent.hasRecentStart()
    },
    planned(agent, step) {
      plannedAgents.add(agent)
      if (step.crashSuspects.size === 0) return
      isolated.add(agent)
      plannedSteps.add(step)
    },
  }
}
