/**
 * Logs which services lack VMs, and what the moves to them wait for: VMs that still run tasks, or the
 * rate of orders that the cloud accepts.
 */
import type { Vm } from '../ports/index.js'
import type { Logger } from '../shared/index.js'
import { cpuPerVmOf, neededVms } from './poolPlanner.js'
import type { PlannedMove } from './poolPlanner.js'
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
  /** All moves that should be made now. */
  planned: readonly PlannedMove[]
  /** Those among them whose VMs are empty. */
  possible: readonly PlannedMove[]
  /** Those among the possible ones that are ordered in this round. */
  ordered: readonly PlannedMove[]
}

const countTo = (moves: readonly PlannedMove[], service: string): number =>
  moves.filter(({ pool }) => pool === service).length

/** Creates the log; the returned function is to be called in each round. */
export function createShortageLog(log: Logger): (round: PoolRound) => void {
  const loggedAt = new Map<string, number>()

  return ({ now, vms, reports, movingTo, planned, possible, ordered }) => {
    const cpuPerVm = cpuPerVmOf(vms)
    for (const [service, report] of reports) {
      const plannedHere = countTo(planned, service)
      if (plannedHere === 0) continue
      if (now - (loggedAt.get(service) ?? -Infinity) < LOG_INTERVAL_MS) continue
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
        needed: neededVms(report, report.neededCpu, cpuPerVm),
        timely: neededVms(report, report.timelyCpu, cpuPerVm),
        planned: plannedHere,
        occupied: plannedHere - possibleHere,
        heldBack: possibleHere - countTo(ordered, service),
      })
    }
  }
}
