/**
 * Logs how much of a service's room is in use while tasks wait: what the owner counts as taken, from
 * each order to the news of the end, and what runs by the last reports of the targets. Also logs the
 * processor time that the owner used meanwhile, and for how many starts.
 */
import type { JobBook } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { ColdTargets } from './coldTargets.js'
import type { OwnerLoad } from './ownerLoad.js'
import type { OwnerProcessor } from './serviceOwner.js'
import { needOf, takenCpuOf } from './room.js'
import type { TargetAgent } from './types.js'

/** Interval between two lines, in ms. */
const LOG_INTERVAL_MS = 1000

/** Dependencies of the log. */
export interface RoomUseOptions {
  service: string
  book: JobBook
  /** Whether the owner cannot order starts as fast as they become due. */
  isBehind(): boolean
  /** Room that the owner last requested, in thousandths of a core. */
  requestedCpu(): number
  /** Whether the row of the target is durable, so that tasks may start there. */
  hasRow(targetId: string): boolean
  coldTargets: Pick<ColdTargets, 'any' | 'isCold'>
  /** Work of the owner since the last call. */
  takeLoad(): OwnerLoad
  processor: Pick<OwnerProcessor, 'share' | 'forwarders'>
  log: Logger
}

/** Creates the log; the returned function is to be called periodically. */
export function createRoomUseLog({
  service,
  book,
  isBehind,
  requestedCpu,
  hasRow,
  coldTargets,
  takeLoad,
  processor,
  log,
}: RoomUseOptions): (agents: readonly TargetAgent[]) => void {
  let loggedAt = -Infinity

  return (agents) => {
    const now = monotonicMs()
    if (now - loggedAt < LOG_INTERVAL_MS || book.ready.size === 0) return
    loggedAt = now
    const sums = {
      targets: 0,
      usable: 0,
      withoutRow: 0,
      awaitingProgress: 0,
      cpu: 0,
      takenCpu: 0,
      runningCpu: 0,
      lastingCpu: 0,
    }
    const anyCold = coldTargets.any()
    let starting = 0
    let cold = 0
    for (const agent of agents) {
      if (!agent.listed) continue
      sums.targets++
      if (agent.isUsable()) sums.usable++
      if (anyCold && coldTargets.isCold(agent.target.id)) cold++
      if (!hasRow(agent.target.id)) sums.withoutRow++
      if (agent.isAwaitingProgress()) sums.awaitingProgress++
      sums.cpu += agent.room.capacity.cpu
      sums.takenCpu += takenCpuOf(agent.room)
      sums.runningCpu += agent.reportedCpu()
      for (const { state, task } of agent.placements.values()) {
        if (state === 'starting') starting++
        if (task?.step.spec.lasting) sums.lastingCpu += needOf(task.step).cpu
      }
    }
    log.event('roomUse', {
      service,
      ...sums,
      ...(anyCold && { cold }),
      requestedCpu: requestedCpu(),
      ...takeLoad(),
      busy: Math.round(processor.share() * 100) / 100,
      forwarders: processor.forwarders(),
      starting,
      ready: book.ready.size,
      open: book.open.size,
      isBehind: isBehind(),
    })
  }
}
