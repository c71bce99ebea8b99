/**
 * Logs which services lack VMs, and what the moves to them wait for: VMs that still run tasks, the
 * rate of orders that the cloud accepts, or the end of a cordon.
 */
import type { Vm } from '../ports/index.js'
import type { Logger } from '../shared/index.js'
import { cpuPerVmOf, neededVms } from './poolPlanner.js'
import type { Cordons, PlannedMove } from './poolPlanner.js'
import type { ServiceReport } from './types.js'

/** Interval between two lines on a service, in ms. */
const LOG_INTERVAL_MS = 1000

/** One round of decisions on the pools. */
export interface PoolRound {
  /** Monotonic time, in ms. */
  now: number
  vms: readonly Vm[]
  reports: ReadonlyMap<string, ServiceReport>
  /** Pools that VMs are being moved to, by VM. */
  movingTo: ReadonlyMap<string, string>
  /** Pool of idle VMs that are switched off. */
  sparePool: string | undefined
  cordons: Cordons
  /** All moves that should be made now. */
  planned: readonly PlannedMove[]
  /** Those among them whose VMs are empty. */
  possible: readonly PlannedMove[]
  /** Those among the possible ones that are ordered in this round. */
  ordered: readonly PlannedMove[]
}

const countTo = (moves: readonly PlannedMove[], service: string): number =>
  moves.filter(({ pool }) => pool === service).length

/** VMs by pool, among those that are up or on the move. */
interface PoolCounts {
  /** VMs outside cordoned data halls. */
  open: Map<string, number>
  /** VMs in cordoned data halls. */
  cordoned: Map<string, number>
}

function countPools({ vms, movingTo, cordons }: PoolRound): PoolCounts {
  const counts = { open: new Map<string, number>(), cordoned: new Map<string, number>() }
  for (const vm of vms) {
    if (vm.state !== 'up' && vm.state !== 'moving') continue
    const pool = movingTo.get(vm.name) ?? vm.pool
    const group = cordons.has(vm.hall) ? counts.cordoned : counts.open
    group.set(pool, (group.get(pool) ?? 0) + 1)
  }
  return counts
}

/** Creates the log; the returned function is to be called in each round. */
export function createShortageLog(log: Logger): (round: PoolRound) => void {
  const loggedAt = new Map<string, number>()

  return (round) => {
    const { now, vms, reports, movingTo, sparePool, cordons } = round
    const { planned, possible, ordered } = round
    const cpuPerVm = cpuPerVmOf(vms)
    const counts = cordons.size === 0 ? undefined : countPools(round)
    const cordonedFor = (service: string): number =>
      (counts?.cordoned.get(service) ?? 0) + (counts?.cordoned.get(sparePool ?? '') ?? 0)
    for (const [service, report] of reports) {
      const plannedHere = countTo(planned, service)
      if (plannedHere === 0 && !counts) continue
      if (now - (loggedAt.get(service) ?? -Infinity) < LOG_INTERVAL_MS) continue
      const needed = neededVms(report, report.neededCpu, cpuPerVm)
      const cordoned = cordonedFor(service)
      // Without a VM outside the cordon, no move is planned although the service lacks VMs.
      const isHeldBack = cordoned > 0 && (counts?.open.get(service) ?? 0) < needed
      if (plannedHere === 0 && !isHeldBack) continue
      loggedAt.set(service, now)
      const inPool = vms.filter(({ pool }) => pool === service)
      const isArriving = (vm: Vm): boolean => movingTo.get(vm.name) === service
      const possibleHere = countTo(possible, service)
      log.event('vmsLacking', {
        service,
        up: inPool.filter(({ state }) => state === 'up').length,
        arriving:
          inPool.filter(({ state }) => state === 'moving').length +
          vms.filter((vm) => vm.pool !== service && isArriving(vm)).length,
        needed,
        timely: neededVms(report, report.timelyCpu, cpuPerVm),
        planned: plannedHere,
        occupied: plannedHere - possibleHere,
        heldBack: possibleHere - countTo(ordered, service),
        ...(counts && { cordoned }),
      })
    }
  }
}
