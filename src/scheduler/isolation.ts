/**
 * Isolates tasks that may have crashed a target until one of their runs is stable, so that a
 * further crash has a single likely cause and affects a single target.
 */
import { hasSoleSuspect, hasSuspectRunning, isSoleSuspect } from '../jobs/index.js'
import type { Step } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Time for which a crashed target counts towards the pool while its VM restarts, in ms. */
const RESTART_MS = 2000

/**
 * Risk that the next run of a suspect crashes its target. `possible`: it was always one of several
 * suspects. `probable`: it was the sole one.
 */
type CrashRisk = 'possible' | 'probable'

/** Largest shares of the targets that may be isolated at the same time for one kind of suspect. */
interface IsolationShares {
  /** For a target that already runs other tasks. */
  busy: number
  /** For a target without other tasks. */
  idle: number
}

/** At least one target may be isolated for each kind, whatever its share. */
const MAX_ISOLATED_SHARES: Record<CrashRisk, IsolationShares> = {
  possible: { busy: 0.2, idle: 0.75 },
  probable: { busy: 0.1, idle: 0.5 },
}

/** Isolation of crash suspects by one owner. */
export interface Isolation {
  /** Records the crash of a target. */
  noteCrash(): void
  /** Begins a round of planning. */
  begin(agents: readonly TargetAgent[]): IsolationRound
}

/** Isolation rules for one round of planning. */
export interface IsolationRound {
  /** Whether isolation of the target or of the step keeps the step from the target. */
  forbids(agent: TargetAgent, step: Step): boolean
  /** Records a start planned in this round. */
  recordPlanned(agent: TargetAgent, step: Step): void
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

const riskOf = (step: Step): CrashRisk => (hasSoleSuspect(step) ? 'probable' : 'possible')

/** The risk that a target is isolated for. */
function riskOn({ placements }: TargetAgent): CrashRisk {
  const isProbable = [...placements.values()].some(
    ({ task }) => task !== undefined && isSoleSuspect(task),
  )
  return isProbable ? 'probable' : 'possible'
}

/** @param recentCrashes number of targets that crashed within RESTART_MS */
function createRound(
  agents: readonly TargetAgent[],
  recentCrashes: number,
): IsolationRound {
  const isolated = new Set(agents.filter((agent) => agent.isIsolated()))
  const usable = agents.filter((agent) => agent.isUsable() || isolated.has(agent))
  const poolSize = usable.length + recentCrashes
  /** Number of isolated targets by risk. Restarting targets count as probable crashes. */
  const counts: Record<CrashRisk, number> = { possible: 0, probable: recentCrashes }
  for (const agent of isolated) counts[riskOn(agent)]++
  /** Targets with starts planned in this round. */
  const plannedAgents = new Set<TargetAgent>()
  /** Target chosen in this round for the suspects of a step. */
  const trials = new Map<Step, TargetAgent>()

  const maxIsolated = (agent: TargetAgent, risk: CrashRisk): number => {
    const { busy, idle } = MAX_ISOLATED_SHARES[risk]
    return Math.max(1, Math.floor(poolSize * (agent.placements.size > 0 ? busy : idle)))
  }

  return {
    forbids(agent, step) {
      // Suspects of one step are started together: one stable start clears all of them.
      const trial = trials.size > 0 ? trials.get(step) : undefined
      if (trial) return trial !== agent
      if (isolated.size > 0 && isolated.has(agent)) return true
      if (step.crashSuspects.size === 0) return false
      if (hasSuspectRunning(step)) return true
      if (plannedAgents.has(agent) || agent.hasRecentStart()) return true
      const risk = riskOf(step)
      return counts[risk] >= maxIsolated(agent, risk)
    },
    recordPlanned(agent, step) {
      plannedAgents.add(agent)
      if (step.crashSuspects.size === 0 || isolated.has(agent)) return
      isolated.add(agent)
      trials.set(step, agent)
      counts[riskOf(step)]++
    },
  }
}
