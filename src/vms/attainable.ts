/** Computes the room that a service could get from other pools. Pure functions only. */
import type { VmState } from '../ports/index.js'
import { cpuPerVmOf, neededVms } from './poolPlanner.js'
import type { PoolInput } from './poolPlanner.js'

/** The VMs of one round that run tasks or will soon. */
export interface AttainableVms {
  /** Average capacity of a VM, in thousandths of a core. */
  cpuPerVm: number
  /** Pools by VM; those that VMs are being moved to. */
  pools: ReadonlyMap<string, string>
  /** Number of VMs by pool. */
  counts: ReadonlyMap<string, number>
}

/** Input that decides on the room of one service. */
interface AttainableInput extends Pick<PoolInput, 'reports' | 'sparePool'> {
  vms: AttainableVms
  /** Names of VMs that cannot be in the pool of the service. */
  unfitVms: Iterable<string>
}

/** Whether a VM in the state runs tasks, or will within a few seconds. */
const IS_ATTAINABLE: Record<VmState, boolean> = {
  up: true,
  moving: true,
  maintenance: true,
  down: false,
}

/** Counts the VMs, once for all services: there are reports of many services in each round. */
export function countAttainable({
  vms,
  movingTo,
}: Pick<PoolInput, 'vms' | 'movingTo'>): AttainableVms {
  const pools = new Map<string, string>()
  const counts = new Map<string, number>()
  for (const { name, state, pool: present } of vms) {
    if (!IS_ATTAINABLE[state]) continue
    const pool = movingTo.get(name) ?? present
    pools.set(name, pool)
    counts.set(pool, (counts.get(pool) ?? 0) + 1)
  }
  return { cpuPerVm: cpuPerVmOf(vms), pools, counts }
}

/**
 * Returns the room that a service has or can get, in thousandths of a core: that of its VMs, of all
 * spare VMs, and of the VMs that other services do not need for jobs that can still be in time. Several
 * services may count the same VM, and all VMs of a service without a fresh report count, so that the
 * room is rather too large: jobs are refused by it.
 */
export function attainableCpuOf(service: string, input: AttainableInput): number {
  const { vms, reports, sparePool, unfitVms } = input
  const { cpuPerVm, pools, counts } = vms
  const unfit = new Map<string, number>()
  for (const name of unfitVms) {
    const pool = pools.get(name)
    if (pool !== undefined && pool !== service)
      unfit.set(pool, (unfit.get(pool) ?? 0) + 1)
  }
  let attainable = 0
  for (const [pool, count] of counts) {
    const report = pool === service || pool === sparePool ? undefined : reports.get(pool)
    const needed = report ? neededVms(report, report.timelyCpu, cpuPerVm) : 0
    attainable += Math.max(0, count - (unfit.get(pool) ?? 0) - needed)
  }
  return attainable * cpuPerVm
}
