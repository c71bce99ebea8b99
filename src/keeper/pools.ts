/**
 * Which pool has which VMs of a hall. Every VM that stands well stays; pools give up
 * only what is above their share. VMs that no pool needs are in the reserve pool.
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

/** VMs that each pool of the hall needs, by the declared sizes of its services. */
export function poolDemand(table: Table, vm: { cpus: number; memoryGb: number }) {
  const services = groupBy(table.services.values(), (service) => service.pool)
  const demand = new Map<string, number>()
  for (const [pool, line] of table.pools) {
    const needed = vmsNeeded(services.get(pool) ?? [], vm)
    demand.set(pool, Math.min(line.limit, needed))
  }
  return demand
}

/** VMs that hold these services by their declared sizes. */
function vmsNeeded(
  services: readonly ServiceLine[],
  vm: { cpus: number; memoryGb: number },
): number {
  let cpus = 0
  let memory = 0
  let widest = 0
  for (const service of services) {
    cpus += service.instances * service.cpus
    memory += service.instances * service.memory_gb
    // Two VMs at least for several instances, so that they do not share one.
    widest = Math.max(widest, Math.min(service.instances, 2))
  }
  const bySize = Math.max(cpus / vm.cpus, memory / vm.memoryGb)
  return Math.max(widest, Math.ceil(bySize))
}

/**
 * Shares out VMs: each pool gets its demand, or when they are scarce its share by
 * weight, never more than its demand. Whole VMs, largest remainder first.
 */
export function shareOut(
  demand: ReadonlyMap<string, number>,
  weights: ReadonlyMap<string, number>,
  available: number,
): Map<string, number> {
  const wanted = [...demand].filter(([pool]) => (weights.get(pool) ?? 0) > 0)
  const total = wanted.reduce((sum, [, count]) => sum + count, 0)
  const shares = new Map([...demand.keys()].map((pool) => [pool, 0]))
  // With enough for all there is nothing to weigh.
  if (total <= available) return new Map([...shares, ...wanted])
  let left = available
  while (left > 0) {
    const next = mostDeserving(demand, weights, shares)
    if (next === undefined) break
    shares.set(next, shares.get(next)! + 1)
    left--
  }
  return shares
}

/** The pool with unmet demand that has the least for its weight; ties go by name. */
function mostDeserving(
  demand: ReadonlyMap<string, number>,
  weights: ReadonlyMap<string, number>,
  shares: ReadonlyMap<string, number>,
): string | undefined {
  let best: { pool: string; score: number } | undefined
  for (const [pool, wanted] of demand) {
    const has = shares.get(pool)!
    const weight = weights.get(pool) ?? 0
    if (has >= wanted || weight <= 0) continue
    const score = (has + 1) / weight
    if (best && (score > best.score || (score === best.score && pool > best.pool)))
      continue
    best = { pool, score }
  }
  return best?.pool
}

/**
 * The moves that bring each pool to its share.
 * @param jobCount jobs on a VM; VMs with few are moved first.
 * @param surge pools that may have one VM of the reserve above their share.
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
  const shares = shareOut(demand, weights, usable.length)
  const targetOf = (vm: VmRow) => vm.operation?.toPool ?? vm.pool
  const counts = new Map<string, number>()
  for (const vm of usable) counts.set(targetOf(vm), (counts.get(targetOf(vm)) ?? 0) + 1)

  const givers = usable
    .filter((vm) => vm.state === 'active' && vm.operation === undefined)
    .sort((a, b) => jobCount(a.id) - jobCount(b.id) || (a.id < b.id ? -1 : 1))
  const moves: PoolMove[] = []

  const take = (vm: VmRow, to: string, reason: string) => {
    givers.splice(givers.indexOf(vm), 1)
    counts.set(vm.pool, counts.get(vm.pool)! - 1)
    counts.set(to, (counts.get(to) ?? 0) + 1)
    moves.push({ vm: vm.id, from: vm.pool, to, reason })
  }
  const surplus = (pool: string) => (counts.get(pool) ?? 0) - (shares.get(pool) ?? 0)
  const spare = (pool: string) =>
    surge.has(pool) && (shares.get(pool) ?? 0) < (table.pools.get(pool)?.limit ?? 0)
      ? 1
      : 0
  const giver = () =>
    givers.find((vm) => vm.pool === RESERVE_POOL) ??
    givers.find((vm) => vm.pool !== RESERVE_POOL && surplus(vm.pool) > 0)

  for (const [pool, share] of shares) {
    while ((counts.get(pool) ?? 0) < share) {
      const vm = giver()
      if (!vm) break
      take(vm, pool, `pool has ${counts.get(pool) ?? 0} of its share of ${share}`)
    }
  }
  for (const pool of shares.keys()) {
    const vm = givers.find((each) => each.pool === RESERVE_POOL)
    if (!vm || spare(pool) === 0 || surplus(pool) !== 0) continue
    take(vm, pool, 'a wave goes through the pool, and the reserve can spare a VM')
  }
  for (const vm of [...givers]) {
    if (vm.pool === RESERVE_POOL || surplus(vm.pool) <= spare(vm.pool)) continue
    take(vm, RESERVE_POOL, `pool has more than its share of ${shares.get(vm.pool) ?? 0}`)
  }
  return moves
}
