/** Decides how many VMs each pool should have, and which VMs move. Pure. */
import type { Vm } from '../ports/index.js'
import type { ServiceReport, TargetLoad } from './types.js'
import { PLANNED_USE } from './constants.js'

/** A VM that should change pool. */
export interface PlannedMove {
  vm: Vm
  pool: string
}

/** What a plan rests on. */
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

/** VMs that a service needs by its report. */
function neededVms(report: ServiceReport, cpuPerVm: number): number {
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

/** Missing VMs by pool; negative for a surplus. */
type Gaps = Map<string, number>

/** Gaps against what the services need now, and against what they keep for a peak. */
function countGaps(input: PoolInput): { gaps: Gaps; keepGaps: Gaps } {
  const { vms, movingTo, emptying } = input
  const cpuPerVm = cpuPerVmOf(vms)
  const gaps: Gaps = new Map()
  const keepGaps: Gaps = new Map()
  for (const [service, report] of input.reports) {
    // One that is being emptied or maintained cannot take what the service needs.
    const there = vms.filter(
      (vm) =>
        (movingTo.get(vm.name) ?? vm.pool) === service &&
        (vm.state === 'up' || vm.state === 'moving') &&
        !emptying.has(vm.name),
    )
    const needed = neededVms(report, cpuPerVm)
    gaps.set(service, needed - there.length)
    keepGaps.set(service, input.keptBy(service, needed) - there.length)
  }
  return { gaps, keepGaps }
}

/** VMs that may move: spare ones, and idle ones of the services. */
function findMovable(input: PoolInput): { spare: Vm[]; idle: Vm[] } {
  const { vms, reports, sparePool, emptying, ordered } = input
  const targets = [...reports.values()].flatMap((report) => report.targets)
  const loads = new Map(targets.map((load) => [load.id, load]))
  const evacuating = (vm: Vm): number => Number(loads.get(vm.targetId)?.evacuating)
  const free = vms.filter(
    (vm) => vm.state === 'up' && !emptying.has(vm.name) && !ordered.has(vm.name),
  )
  const spare = free.filter((vm) => vm.pool === sparePool)
  // VMs that are being emptied already come first, so that the choice stays the same.
  const idle = free
    .filter((vm) => reports.has(vm.pool) && isIdle(loads.get(vm.targetId)))
    .sort((a, b) => evacuating(b) - evacuating(a))
  return { spare, idle }
}

function removeFrom(list: Vm[], vm: Vm): void {
  const at = list.indexOf(vm)
  if (at >= 0) list.splice(at, 1)
}

/** Plans moves: needs are met from spare VMs, then from idle VMs of other pools. */
export function planPools(input: PoolInput): PlannedMove[] {
  const { sparePool, fitsPool } = input
  const { gaps, keepGaps } = countGaps(input)
  const { spare, idle } = findMovable(input)
  const moves: PlannedMove[] = []

  const change = (pool: string, by: number): void => {
    for (const each of [gaps, keepGaps]) {
      const gap = each.get(pool)
      if (gap !== undefined) each.set(pool, gap + by)
    }
  }
  const move = (vm: Vm, pool: string): void => {
    moves.push({ vm, pool })
    removeFrom(spare, vm)
    removeFrom(idle, vm)
    change(pool, -1)
    change(vm.pool, 1)
  }
  const isSurplus = (vm: Vm): boolean => (gaps.get(vm.pool) ?? 0) < 0
  const findFor = (service: string): Vm | undefined =>
    spare.find((vm) => fitsPool(vm, service)) ??
    idle.find((vm) => vm.pool !== service && isSurplus(vm) && fitsPool(vm, service))

  const wanting = [...gaps].filter(([, gap]) => gap > 0).sort((a, b) => b[1] - a[1])
  for (const [service] of wanting) {
    while ((gaps.get(service) ?? 0) > 0) {
      const vm = findFor(service)
      if (!vm) break
      move(vm, service)
    }
  }
  if (sparePool === undefined) return moves
  for (const [service] of keepGaps) {
    while ((keepGaps.get(service) ?? 0) < 0) {
      const vm = idle.find((each) => each.pool === service && fitsPool(each, sparePool))
      if (!vm) break
      move(vm, sparePool)
    }
  }
  return moves
}
