/** Decides how many VMs each pool should have and which VMs move. Pure functions only. */
import type { Vm } from '../ports/index.js'
import type { ServiceReport, TargetLoad } from './types.js'
import { PLANNED_UTILIZATION, MAX_PRESSURE_RATIO } from './constants.js'

/** A VM that should move to another pool. */
export interface PlannedMove {
  vm: Vm
  pool: string
}

/** Input of a plan. */
export interface PoolInput {
  vms: readonly Vm[]
  /** Fresh reports by service; the pool of a service without one is left unchanged. */
  reports: ReadonlyMap<string, ServiceReport>
  /** Pool of idle VMs that are switched off. */
  sparePool: string | undefined
  /** Pools that VMs are being moved to, by VM. */
  movingTo: ReadonlyMap<string, string>
  /** VMs that are being emptied for maintenance. */
  emptying: ReadonlySet<string>
  /** VMs with an order whose effect the list does not show yet. */
  ordered: ReadonlySet<string>
  /** Whether the VM can be in the pool. */
  fitsPool(vm: Vm, pool: string): boolean
  /** Number of VMs that a service should keep instead of parking, given what it needs now. */
  vmsToKeep(service: string, needed: number): number
  /** Cordoned data halls: services start no tasks on the VMs there. */
  cordons: Cordons
}

/** The cordoned data halls. */
export type Cordons = Pick<ReadonlyMap<string, unknown>, 'has' | 'size'>

/** Number of VMs that a service needs for `cpu` thousandths of a core. */
export function neededVms(report: ServiceReport, cpu: number, cpuPerVm: number): number {
  if (cpuPerVm <= 0) return report.minTargets
  const byLoad = Math.ceil(cpu / (cpuPerVm * PLANNED_UTILIZATION))
  return Math.max(1, report.minTargets, byLoad)
}

const isIdle = (load: TargetLoad | undefined): boolean => load?.runs === 0

/** Average capacity of the VMs in the list that have any, in thousandths of a core. */
export function cpuPerVmOf(vms: readonly Vm[]): number {
  const sizes = vms.map(({ capacity }) => capacity.cpu).filter((cpu) => cpu > 0)
  return sizes.length === 0 ? 0 : sizes.reduce((sum, cpu) => sum + cpu, 0) / sizes.length
}

/** Number of missing VMs by pool; negative for a surplus. */
type Gaps = Map<string, number>

/** Gaps relative to each of the demands that are planned for. */
interface AllGaps {
  /** Demand of jobs that can still meet their objective. */
  timely: Gaps
  /** Demand of all jobs. */
  now: Gaps
  /** Number of VMs that are kept for peaks. */
  kept: Gaps
}

/** Loads that the services have reported, by target. */
type Loads = ReadonlyMap<string, TargetLoad>

const loadsOf = ({ reports }: PoolInput): Loads => {
  const targets = [...reports.values()].flatMap((report) => report.targets)
  return new Map(targets.map((load) => [load.id, load]))
}

function countGaps(
  input: PoolInput,
  loads: Loads,
  cpuPerVm: number,
  neededBy: ReadonlyMap<string, number>,
): AllGaps {
  const { vms, movingTo, emptying } = input
  const gaps: AllGaps = { timely: new Map(), now: new Map(), kept: new Map() }
  for (const [service, report] of input.reports) {
    // A VM that is being emptied or maintained cannot run the service's tasks, nor can one that
    // works so badly that the owner of the service places no tasks there.
    const usable = vms.filter(
      (vm) =>
        (movingTo.get(vm.name) ?? vm.pool) === service &&
        (vm.state === 'up' || vm.state === 'moving') &&
        !emptying.has(vm.name) &&
        !loads.get(vm.targetId)?.suspect,
    ).length
    const needed = neededBy.get(service) ?? 0
    const gapOf = (vmsNeeded: number): number => {
      const gap = vmsNeeded - usable
      // Jobs that have not been read may need the VMs.
      return report.mayLackJobs ? Math.max(0, gap) : gap
    }
    gaps.timely.set(service, gapOf(neededVms(report, report.timelyCpu, cpuPerVm)))
    gaps.now.set(service, gapOf(needed))
    gaps.kept.set(service, gapOf(input.vmsToKeep(service, needed)))
  }
  return gaps
}

/** VMs that may move, each list with the best candidates first. */
interface Movable {
  spare: Vm[]
  idle: Vm[]
  /** VMs whose tasks all end by themselves: closed now, and moved once idle. */
  withFiniteTasks: Vm[]
  /** Idle VMs that work badly; a move restarts them as a new life. */
  suspect: Vm[]
}

function findMovable(input: PoolInput, loads: Loads): Movable {
  const { vms, reports, sparePool, emptying, ordered } = input
  const loadOf = (vm: Vm): TargetLoad | undefined => loads.get(vm.targetId)
  // VMs that are already being emptied come first, so that the choice does not change.
  const byProgress = (a: Vm, b: Vm): number =>
    Number(loadOf(b)?.evacuating) - Number(loadOf(a)?.evacuating) ||
    (loadOf(a)?.usedCpu ?? 0) - (loadOf(b)?.usedCpu ?? 0)
  const free = vms.filter(
    (vm) => vm.state === 'up' && !emptying.has(vm.name) && !ordered.has(vm.name),
  )
  const used = free.filter((vm) => reports.has(vm.pool) && loadOf(vm)).sort(byProgress)
  const sound = used.filter((vm) => !loadOf(vm)?.suspect)
  return {
    spare: free.filter((vm) => vm.pool === sparePool),
    idle: sound.filter((vm) => isIdle(loadOf(vm))),
    suspect: used.filter((vm) => loadOf(vm)?.suspect && isIdle(loadOf(vm))),
    withFiniteTasks: sound.filter(
      (vm) => !isIdle(loadOf(vm)) && loadOf(vm)?.lasting === 0,
    ),
  }
}

function removeFrom(list: Vm[], vm: Vm): void {
  const at = list.indexOf(vm)
  if (at >= 0) list.splice(at, 1)
}

/** Ratio of the VMs that a service needs to the VMs of its pool. */
const pressureOf = (needed: number, gap: number): number =>
  needed / Math.max(1, needed - gap)

/**
 * Plans moves among VMs whose data hall is not cordoned. Work that can still be in time is served
 * first, if necessary by VMs whose service has only late work for them; then all work, by spare and
 * idle VMs. If no pool has enough VMs for its late work, the pools share the VMs in proportion to
 * that work.
 */
function planOpenVms(input: PoolInput, loads: Loads, cpuPerVm: number): PlannedMove[] {
  const { sparePool, fitsPool } = input
  const needed = new Map(
    [...input.reports].map(([service, report]) => [
      service,
      neededVms(report, report.neededCpu, cpuPerVm),
    ]),
  )
  const gaps = countGaps(input, loads, cpuPerVm, needed)
  const movable = findMovable(input, loads)
  const moves: PlannedMove[] = []

  const adjustGaps = (pool: string, by: number): void => {
    for (const each of Object.values(gaps) as Gaps[]) {
      const gap = each.get(pool)
      if (gap !== undefined) each.set(pool, gap + by)
    }
  }
  const move = (vm: Vm, pool: string): void => {
    moves.push({ vm, pool })
    for (const list of Object.values(movable) as Vm[][]) removeFrom(list, vm)
    adjustGaps(pool, -1)
    if (!loads.get(vm.targetId)?.suspect) adjustGaps(vm.pool, 1)
  }
  /** Whether no other VM of its pool stays: until another arrives, a bad VM is better than none. */
  const isLast = (vm: Vm): boolean =>
    !input.vms.some(
      (other) =>
        other !== vm &&
        other.pool === vm.pool &&
        other.state === 'up' &&
        !input.emptying.has(other.name) &&
        !input.ordered.has(other.name) &&
        !moves.some((each) => each.vm === other),
    )

  /** Fills the gaps from the lists in their order, without creating new gaps. */
  const fillGaps = (wanted: Gaps, donors: Vm[][]): void => {
    const findFor = (service: string): Vm | undefined => {
      for (const list of donors) {
        const found = list.find(
          (vm) =>
            vm.pool !== service &&
            ((list === movable.suspect && !isLast(vm)) ||
              vm.pool === sparePool ||
              (wanted.get(vm.pool) ?? 0) < 0) &&
            fitsPool(vm, service),
        )
        if (found) return found
      }
      return undefined
    }
    const lacking = [...wanted].filter(([, gap]) => gap > 0).sort((a, b) => b[1] - a[1])
    for (const [service] of lacking) {
      while ((wanted.get(service) ?? 0) > 0) {
        const vm = findFor(service)
        if (!vm) break
        move(vm, service)
      }
    }
  }

  /** The pool with the highest pressure; undefined when no service needs more VMs. */
  function highestPressurePool(): string | undefined {
    const lacking = [...gaps.now].filter(([, gap]) => gap > 0)
    const [first] = lacking.sort((a, b) => pressure(b[0]) - pressure(a[0]))
    return first?.[0]
  }

  const pressure = (service: string): number =>
    pressureOf(needed.get(service) ?? 0, gaps.now.get(service) ?? 0)

  /**
   * Whether the pool can give a VM to another pool whose service waits far longer. A pool that has
   * more VMs than it needs is excluded: it gives its idle VMs anyway, and the others once idle.
   */
  const mayDonate = (pool: string, to: string): boolean =>
    pool !== to &&
    (gaps.now.get(pool) ?? -1) >= 0 &&
    (gaps.timely.get(pool) ?? 0) < 0 &&
    pressure(to) > pressure(pool) * MAX_PRESSURE_RATIO

  /** Moves VMs to where late work waits longest, until no pool waits far longer than another. */
  function balanceLateWork(): void {
    for (;;) {
      const to = highestPressurePool()
      if (to === undefined) return
      const vm = [...movable.idle, ...movable.withFiniteTasks].find(
        (each) => mayDonate(each.pool, to) && fitsPool(each, to),
      )
      if (!vm) return
      move(vm, to)
    }
  }

  fillGaps(gaps.timely, [
    movable.spare,
    movable.idle,
    movable.suspect,
    movable.withFiniteTasks,
  ])
  fillGaps(gaps.now, [movable.spare, movable.idle, movable.suspect])
  balanceLateWork()
  if (sparePool === undefined) return moves
  // A VM that works badly leaves even a pool that lacks VMs, and returns as a new life.
  for (const vm of [...movable.suspect]) {
    if (!isLast(vm) && fitsPool(vm, sparePool)) move(vm, sparePool)
  }
  for (const [service] of gaps.kept) {
    while ((gaps.kept.get(service) ?? 0) < 0) {
      const vm = movable.idle.find(
        (each) => each.pool === service && fitsPool(each, sparePool),
      )
      if (!vm) break
      move(vm, sparePool)
    }
  }
  return moves
}

/**
 * Plans to park the idle VMs in cordoned data halls. The last VM of a pool stays until another one is
 * up there: if no hall has a VM to replace it, its service can start tasks as soon as the cordon is
 * lifted, and not 1.5 s later.
 * @param moves planned moves of other VMs
 */
function parkCordoned(
  input: PoolInput,
  loads: Loads,
  moves: readonly PlannedMove[],
): PlannedMove[] {
  const { sparePool, cordons, emptying, ordered } = input
  if (sparePool === undefined) return []
  const leaving = new Set(moves.map(({ vm }) => vm))
  const stayingBy = new Map<string, number>()
  const idle: Vm[] = []
  for (const vm of input.vms) {
    const { name, pool } = vm
    if (vm.state !== 'up' || emptying.has(name) || ordered.has(name) || leaving.has(vm))
      continue
    stayingBy.set(pool, (stayingBy.get(pool) ?? 0) + 1)
    const isParkable = cordons.has(vm.hall) && pool !== sparePool
    if (isParkable && input.reports.has(pool) && isIdle(loads.get(vm.targetId)))
      idle.push(vm)
  }
  const isClosed = (vm: Vm): boolean => loads.get(vm.targetId)?.evacuating ?? false
  // VMs that are already closed come first, so that the one that stays does not change.
  return idle
    .sort((a, b) => Number(isClosed(b)) - Number(isClosed(a)))
    .flatMap((vm) => {
      const staying = stayingBy.get(vm.pool) ?? 0
      if (staying <= 1 || !input.fitsPool(vm, sparePool)) return []
      stayingBy.set(vm.pool, staying - 1)
      return [{ vm, pool: sparePool }]
    })
}

/**
 * Plans moves. VMs in cordoned data halls are no supply of any service: the others are planned as if
 * those did not exist. Without a cordon, all VMs are planned alike.
 */
export function planPools(input: PoolInput): PlannedMove[] {
  const { cordons } = input
  const loads = loadsOf(input)
  // Over all VMs, so that a service's need in VMs does not change with a cordon.
  const cpuPerVm = cpuPerVmOf(input.vms)
  if (cordons.size === 0) return planOpenVms(input, loads, cpuPerVm)
  const vms = input.vms.filter(({ hall }) => !cordons.has(hall))
  const moves = planOpenVms({ ...input, vms }, loads, cpuPerVm)
  return [...moves, ...parkCordoned(input, loads, moves)]
}
