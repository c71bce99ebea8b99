/**
 * Detects from the cloud's list of VMs that a silent target is gone. If no VM has its id, its
 * tasks can start elsewhere without waiting until their leases expire.
 */
import type { VmCloud } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { TargetAgent } from './types.js'

/** Shortest time between two reads of the list, in ms. */
const READ_INTERVAL_MS = 700
/** The same after a read that lacked a silent target, or after another target fell silent, in ms. */
const URGENT_READ_INTERVAL_MS = 250
/** Least ratio of that time to the duration of a read, as a long list fills a slow link. */
const READ_PAUSE_FACTOR = 4
/** Longest time until the list shows a VM that has started, in ms. */
const MAX_LIST_LAG_MS = 1500
/**
 * Time for which the list must lack a VM before its target counts as gone, in ms. It takes two
 * reads, as a VM may change its place in the list between two pages of one.
 */
const MIN_ABSENT_MS = 200
/** The same for a target that first answered lately or never, and may not be listed yet. */
const MIN_NEW_ABSENT_MS = 700

/** Checks silent targets against the list of VMs. */
export interface LivenessCheck {
  /** Reads the list if a target is in doubt and the last read is old enough. */
  run(agents: TargetAgent[]): Promise<void>
}

/** Creates the check; without a cloud it does nothing. */
export function createLivenessCheck(
  cloud: VmCloud | undefined,
  log: Logger,
): LivenessCheck {
  /** Monotonic time of the first read that lacked the target, in ms, by id. */
  const absentSince = new Map<string, number>()
  /** Ids of the targets in doubt at the last read. */
  let lastReadIds = new Set<string>()
  let lastReadAt = -Infinity
  let lastReadTookMs = 0

  const isDoubtful = (agent: TargetAgent): boolean =>
    !agent.isAnswering() && (agent.placements.size > 0 || !agent.isStateKnown())

  /** Whether a read sent at that time must show the target's VM unless it is gone. */
  const mustBeListed = (agent: TargetAgent, sentAt: number): boolean =>
    sentAt - agent.firstReportAt() > MAX_LIST_LAG_MS

  /** Shortest time from the last read to the next one, in ms. */
  function intervalMs(doubtful: TargetAgent[]): number {
    const isUrgent =
      absentSince.size > 0 || doubtful.some(({ target }) => !lastReadIds.has(target.id))
    return isUrgent
      ? Math.max(URGENT_READ_INTERVAL_MS, lastReadTookMs * READ_PAUSE_FACTOR)
      : READ_INTERVAL_MS
  }

  /**
   * Notes that a read lacked the target, and marks it as gone once it was absent long enough.
   * @param sentAt monotonic time at which the read was sent, in ms
   */
  function noteAbsence(agent: TargetAgent, sentAt: number): void {
    const { id } = agent.target
    const since = absentSince.get(id) ?? sentAt
    absentSince.set(id, since)
    const absentMs = mustBeListed(agent, sentAt) ? MIN_ABSENT_MS : MIN_NEW_ABSENT_MS
    if (sentAt - since < absentMs) return
    absentSince.delete(id)
    agent.markGone('no VM has its id')
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
      const list = await cloud.list()
      lastReadTookMs = monotonicMs() - sentAt
      if (list.isErr())
        return log.event('vmsNotRead', { reason: describeError(list.error) })
      const { vms, unreadable, isComplete } = list.value
      const listedIds = new Set(vms.map(({ targetId }) => targetId))
      // A row that cannot be read may be that of the VM.
      const showsAbsence = isComplete && unreadable.length === 0
      for (const agent of doubtful) {
        // It may have answered while the list was read.
        const isInDoubt = isDoubtful(agent) && !listedIds.has(agent.target.id)
        if (!isInDoubt || !showsAbsence) absentSince.delete(agent.target.id)
        else noteAbsence(agent, sentAt)
      }
    },
  }
}
