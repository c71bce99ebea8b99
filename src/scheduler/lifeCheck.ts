/**
 * Finds out that a silent target is gone, from the list of VMs: a life that no VM has is
 * over, so its tasks need not wait for the end of their leases.
 */
import type { VmCloud } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Time between two readings, in ms. The list lags: one reading more must agree. */
const READ_MS = 700
/** Readings in a row that must not show a life before it counts as over. */
const READINGS = 2

export interface LifeCheck {
  /** Looks, where there is need and the last look is old enough. */
  run(agents: TargetAgent[]): Promise<void>
}

export function createLifeCheck(cloud: VmCloud | undefined, log: Logger): LifeCheck {
  const absences = new Map<string, number>()
  let readAt = -Infinity

  const isDoubtful = (agent: TargetAgent): boolean =>
    !agent.isAnswering() && (agent.placements.size > 0 || !agent.isSettled())

  return {
    async run(agents) {
      const doubtful = agents.filter(isDoubtful)
      if (!cloud || doubtful.length === 0) return absences.clear()
      if (monotonicMs() - readAt < READ_MS) return
      readAt = monotonicMs()
      const vms = await cloud.list()
      if (vms.isErr())
        return log.event('vmsNotRead', { reason: describeError(vms.error) })
      const lives = new Set(vms.value.map(({ targetId }) => targetId))
      for (const agent of doubtful) {
        const { id } = agent.target
        const count = lives.has(id) ? 0 : (absences.get(id) ?? 0) + 1
        absences.set(id, count)
        if (count >= READINGS) agent.markGone('no VM has this life')
      }
    },
  }
}
