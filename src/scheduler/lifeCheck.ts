/**
 * Finds out that a silent target is gone, from the list of VMs: a life that no VM has is
 * over, so its tasks need not wait for the end of their leases.
 */
import type { VmCloud } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Time between two readings at least, in ms. */
const READ_INTERVAL_MS = 700
/** The same while the last one leaves a life in doubt, or another target has fallen silent, in ms. */
const URGENT_READ_INTERVAL_MS = 250
/** The latter as a multiple of the time that a reading takes: a long list fills a thin link. */
const READ_PAUSE_FACTOR = 4
/** Longest time after which the list shows a life that has begun, in ms. */
const MAX_LIST_LAG_MS = 1500
/**
 * Time for which the list must not have shown a life before it counts as over, in ms: two readings,
 * as one may have left out a row that could not be read.
 */
const ABSENT_MS = 200
/** The same for a life that was first heard lately, or never, and may be too young for the list. */
const YOUNG_ABSENT_MS = 700

export interface LifeCheck {
  /** Looks, where there is need and the last look is old enough. */
  run(agents: TargetAgent[]): Promise<void>
}

export function createLifeCheck(cloud: VmCloud | undefined, log: Logger): LifeCheck {
  /** Steady time of the first reading without the life, by id, in ms. */
  const absentSince = new Map<string, number>()
  /** Ids of the silent targets at the last reading. */
  let lastReadIds = new Set<string>()
  let lastReadAt = -Infinity
  let lastReadTookMs = 0

  const isDoubtful = (agent: TargetAgent): boolean =>
    !agent.isAnswering() && (agent.placements.size > 0 || !agent.isSettled())

  /** Whether a reading sent at that time must show the life unless it is over. */
  const mustBeListed = (agent: TargetAgent, sentAt: number): boolean =>
    sentAt - agent.firstReportAt() > MAX_LIST_LAG_MS

  /** Time from the last reading to the next one, in ms. */
  function intervalMs(doubtful: TargetAgent[]): number {
    const isUrgent =
      absentSince.size > 0 || doubtful.some(({ target }) => !lastReadIds.has(target.id))
    return isUrgent
      ? Math.max(URGENT_READ_INTERVAL_MS, lastReadTookMs * READ_PAUSE_FACTOR)
      : READ_INTERVAL_MS
  }

  /** @param sentAt steady time at which the reading was asked for, in ms */
  function noteAbsence(agent: TargetAgent, sentAt: number): void {
    const { id } = agent.target
    const since = absentSince.get(id) ?? sentAt
    absentSince.set(id, since)
    const absentMs = mustBeListed(agent, sentAt) ? ABSENT_MS : YOUNG_ABSENT_MS
    if (sentAt - since < absentMs) return
    absentSince.delete(id)
    agent.markGone('no VM has this life')
  }

  return {
    async run(agents) {
      const doubtful = agents.filter(isDoubtful)
      if (!cloud || doubtful.length === 0) return absentSince.clear()
      const sentAt = monotonicMs()
      if (sentAt - lastReadAt < intervalMs(doubtful)) return
      lastReadAt = sentAt
      lastReadIds = new Set(doubtful.map(({ target }) => target.id))
      for (const id of absentSince.keys())
        if (!lastReadIds.has(id)) absentSince.delete(id)
      const vms = await cloud.list()
      lastReadTookMs = monotonicMs() - sentAt
      if (vms.isErr())
        return log.event('vmsNotRead', { reason: describeError(vms.error) })
      const listedIds = new Set(vms.value.map(({ targetId }) => targetId))
      for (const agent of doubtful) {
        if (listedIds.has(agent.target.id)) absentSince.delete(agent.target.id)
        else noteAbsence(agent, sentAt)
      }
    },
  }
}
