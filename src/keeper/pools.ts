/**
 * Assigns the VMs of a hall to pools. A pool gives up only VMs above its share; all
 * others stay. VMs that no pool needs are in the reserve pool.
 */
import type { VmRow } from '../fleet/index.js'
import { groupBy } from '../shared/index.js'
import { RESERVE_POOL } from '../table/index.js'
import type { ServiceLine, Table } from '../table/index.js'

/** One VM that should change its pool. */
export interface PoolMove {
  vm: string
  from: string
  to: string
  reason: string
}

/** Number of VMs that each pool of the hall needs for its services, up to its limit. */
export function poolDemand(table: Table, vm: { cpus: number; memoryGb: number }) {
  const services = groupBy(table.services.values(), (service) => service.pool)
  const demand = new Map<string, number>()
  for (const [pool, line] of table.pools) {
    const needed = vmsNeeded(services.get(pool) ?? [], vm)
    demand.set(pool, Math.min(line.limit, needed))
  }
  return demand
}

/** Number of VMs that have room for these services, by their declared sizes. */
function vmsNeeded(
  services: readonly ServiceLine[],
  vm: { cpus: number; memoryGb: number },
): number {
  let cpus = 0
  let memory = 0
  let minimumVms = 0
  for (const service of services) {
    cpus += service.instances * service.cpus
    memory += service.instances * service.memory_gb
    // Several instances need at least two VMs, so that they do not all share one.
    minimumVms = Math.max(minimumVms, Math.min(service.instances, 2))
  }
  const bySize = Math.max(cpus / vm.cpus, memory / vm.memoryGb)
  return Math.max(minimumVms, Math.ceil(bySize))
}

/**
 * Allocates VMs to pools: each pool gets its demand or, when VMs are scarce, a share by
 * weight, but never more than its demand. Scarce VMs are allocated one by one, each to
 * the pool that would then have the fewest VMs for its weight. Weight 0 gets none.
 */
export function allocateByWeight(
  demand: ReadonlyMap<string, number>,
  weights: ReadonlyMap<string, number>,
  available: number,
): Map<string, number> {
  const wanted = [...demand].filter(([pool]) => (weights.get(pool) ?? 0) > 0)
  const total = wanted.reduce((sum, [, count]) => sum + count, 0)
  const shares = new Map([...demand.keys()].map((pool) => [pool, 0]))
  // Weights set the shares only when VMs are scarce.
  if (total <= available) return new Map([...shares, ...wanted])
  let remaining = available
  while (remaining > 0) {
    const next = nextPoolByWeight(demand, weights, shares)
    if (next === undefined) break
    shares.set(next, shares.get(next)! + 1)
    remaining--
  }
  return shares
}

/** Returns the pool with unmet demand that gets the next VM; ties are broken by name. */
function nextPoolByWeight(
  demand: ReadonlyMap<string, number>,
  weights: ReadonlyMap<string, number>,
  shares: ReadonlyMap<string, number>,
): string | undefined {
  let best: { pool: string; score: number } | undefined
  for (const [pool, wanted] of demand) {
    const allocated = shares.get(pool)!
    const weight = weights.get(pool) ?? 0
    if (allocated >= wanted || weight <= 0) continue
    const score = (allocated + 1) / weight
    if (best && (score > best.score || (score === best.score && pool > best.pool)))
      continue
    best = { pool, score }
  }
  return best?.pool
}

/**
 * Returns the moves that bring each pool to its share.
 * @param jobCount number of jobs on a VM; VMs with the fewest are moved first.
 * @param surge pools that may borrow one VM of the reserve above their share.
 */
export function planPools(
  table: Table,
  vms: readonly VmRow[],
  jobCount: (vm: string) => number,
  surge: ReadonlySet<string> = new Set(),
): PoolMove[] {
  const usable = vms.filter((vm) => vm.state !== 'gone')
  const first = usable[0]
  if (!first) return []
  const demand = poolDemand(table, first)
  const weights = new Map([...table.pools].map(([pool, line]) => [pool, line.weight]))
  const shares = allocateByWeight(demand, weights, usable.length)
  const destinationOf = (vm: VmRow) => vm.operation?.toPool ?? vm.pool
  const counts = new Map<string, number>()
  for (const vm of usable)
    counts.set(destinationOf(vm), (counts.get(destinationOf(vm)) ?? 0) + 1)

  const movableVms = usable
    .filter((vm) => vm.state === 'active' && vm.operation === undefined)
    .sort((a, b) => jobCount(a.id) - jobCount(b.id) || (a.id < b.id ? -1 : 1))
  const moves: PoolMove[] = []

  const addMove = (vm: VmRow, to: string, reason: string) => {
    movableVms.splice(movableVms.indexOf(vm), 1)
    counts.set(vm.pool, counts.get(vm.pool)! - 1)
    counts.set(to, (counts.get(to) ?? 0) + 1)
    moves.push({ vm: vm.id, from: vm.pool, to, reason })
  }
  const surplus = (pool: string) => (counts.get(pool) ?? 0) - (shares.get(pool) ?? 0)
  const surgeAllowance = (pool: string) =>
    surge.has(pool) && (shares.get(pool) ?? 0) < (table.pools.get(pool)?.limit ?? 0)
      ? 1
      : 0
  const nextSourceVm = () =>
    movableVms.find((vm) => vm.pool === RESERVE_POOL) ??
    movableVms.find((vm) => vm.pool !== RESERVE_POOL && surplus(vm.pool) > 0)

  for (const [pool, share] of shares) {
    while ((counts.get(pool) ?? 0) < share) {
      const vm = nextSourceVm()
      if (!vm) break
      addMove(vm, pool, `pool has ${counts.get(pool) ?? 0} of its share of ${share}`)
    }
  }
  for (const pool of shares.keys()) {
    const vm = movableVms.find((each) => each.pool === RESERVE_POOL)
    if (!vm || surgeAllowance(pool) === 0 || surplus(pool) !== 0) continue
    addMove(vm, pool, 'a wave is in progress in the pool, and the reserve has a VM')
  }
  for (const vm of [...movableVms]) {
    if (vm.pool === RESERVE_POOL || surplus(vm.pool) <= surgeAllowance(vm.pool)) continue
    addMove(
      vm,
      RESERVE_POOL,
      `pool has more than its share of ${shares.get(vm.pool) ?? 0}`,
    )
  }
  return moves
}
