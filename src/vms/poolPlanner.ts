/** Decides how many VMs each pool should have, and which VMs move. Pure. */
import type { Vm } from '../ports/index.js'
import type { ServiceReport, TargetLoad } from './types.js'
import { PLANNED_USE } from './constants.js'

/** A VM that should change pool. */
export interface PlannedMove {
  vm: Vm
  pool: string
}

export interface PoolInput {
  vms: readonly Vm[]
  /** Fresh reports by service; a service without one is left as it is. */
  reports: ReadonlyMap<string, ServiceReport>
  /** Pool of idle VMs that are switched off. */
  sparePool: string | undefined
  /** Pool that a VM is on its way to. */
  movingTo: ReadonlyMap<string, string>
  /** VMs that are being emptied for maintenance. */
  emptying: ReadonlySet<string>
  /** VMs with an order that the list does not show yet. */
  ordered: ReadonlySet<string>
  /** Whether the VM can be in the pool at all. */
  fitsPool(vm: Vm, pool: string): boolean
  /** VMs that a service should keep rather than park, given what it needs now. */
  keptBy(service: string, needed: number): number
}

export interface PoolPlan {
  moves: PlannedMove[]
  /** VMs needed less VMs there, by pool; negative for a surplus. */
  gaps: Map<string, number>
}

/** VMs that a service needs by its report. */
export function neededVms(report: ServiceReport, cpuPerVm: number): number {
  if (cpuPerVm <= 0) return report.minTargets
  const byLoad = Math.ceil(report.neededCpu / (cpuPerVm * PLANNED_USE))
  return Math.max(1, report.minTargets, byLoad)
}

const isIdle = (load: TargetLoad | undefined): boolean => load?.runs === 0

/** Typical processor room of a VM in the list. */
function cpuPerVmOf(vms: readonly Vm[]): number {
  const sizes = vms.map(({ capacity }) => capacity.cpu).filter((cpu) => cpu > 0)
  return sizes.length === 0 ? 0 : sizes.reduce((sum, cpu) => sum + cpu, 0) / sizes.length
}

/** Plans moves: needs are met from spare VMs, then from idle VMs of other pools. */
export function planPools(input: PoolInput): PoolPlan {
  const { vms, reports, sparePool, movingTo, emptying, ordered } = input
  const cpuPerVm = cpuPerVmOf(vms)
  const poolOf = (vm: Vm): string => movingTo.get(vm.name) ?? vm.pool
  const free = (vm: Vm): boolean =>
    vm.state === 'up' && !emptying.has(vm.name) && !ordered.has(vm.name)

  const loads = new Map<string, TargetLoad>()
  const gaps = new Map<string, number>()
  /** The same against what a service keeps for its next peak. */
  const keepGaps = new Map<string, number>()
  for (const [service, report] of reports) {
    for (const load of report.targets) loads.set(load.id, load)
    // One that is being emptied or maintained cannot take what the service needs.
    const there = vms.filter(
      (vm) =>
        poolOf(vm) === service &&
        (vm.state === 'up' || vm.state === 'moving') &&
        !emptying.has(vm.name),
    )
    const needed = neededVms(report, cpuPerVm)
    gaps.set(service, needed - there.length)
    keepGaps.set(service, input.keptBy(service, needed) - there.length)
  }

  const spare = vms.filter((vm) => vm.pool === sparePool && free(vm))
  // VMs that are being emptied already come first, so that the choice stays the same.
  const idle = vms
    .filter((vm) => reports.has(vm.pool) && free(vm) && isIdle(loads.get(vm.targetId)))
    .sort(
      (a, b) =>
        Number(loads.get(b.targetId)?.evacuating) -
        Number(loads.get(a.targetId)?.evacuating),
    )
  const moves: PlannedMove[] = []
  const move = (vm: Vm, pool: string): void => {
    moves.push({ vm, pool })
    for (const list of [spare, idle]) {
      const at = list.indexOf(vm)
      if (at >= 0) list.splice(at, 1)
    }
    for (const [name, change] of [
      [pool, -1],
      [vm.pool, 1],
    ] as const) {
      for (const each of [gaps, keepGaps]) {
        const gap = each.get(name)
        if (gap !== undefined) each.set(name, gap + change)
      }
    }
  }

  const wanting = [...gaps].filter(([, gap]) => gap > 0).sort((a, b) => b[1] - a[1])
  for (const [service] of wanting) {
    while ((gaps.get(service) ?? 0) > 0) {
      const vm =
        spare.find((each) => input.fitsPool(each, service)) ??
        idle.find(
          (each) =>
            each.pool !== service &&
            (gaps.get(each.pool) ?? 0) < 0 &&
            input.fitsPool(each, service),
        )
      if (!vm) break
      move(vm, service)
    }
  }
  if (sparePool === undefined) return { moves, gaps }
  for (const [service] of keepGaps) {
    while ((keepGaps.get(service) ?? 0) < 0) {
      const vm = idle.find(
        (each) => each.pool === service && input.fitsPool(each, sparePool),
      )
      if (!vm) break
      move(vm, sparePool)
    }
  }
  return { moves, gaps }
}
