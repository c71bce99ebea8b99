/** Computes the room that a service could get from other pools. Pure functions only. */
import type { VmState } from '../ports/index.js'
import { cpuPerVmOf, neededVms } from './poolPlanner.js'
import type { PoolInput } from './poolPlanner.js'

/** The parts of the input of a plan that decide on the room of one service. */
type AttainableInput = Pick<
  PoolInput,
  'vms' | 'reports' | 'sparePool' | 'movingTo' | 'fitsPool'
>

/** Whether a VM in the state runs tasks, or will within a few seconds. */
const IS_ATTAINABLE: Record<VmState, boolean> = {
  up: true,
  moving: true,
  maintenance: true,
  down: false,
}

/**
 * Returns the room that a service has or can get, in thousandths of a core: that of its VMs, of all
 * spare VMs, and of the VMs that other services do not need for jobs that can still be in time. Several
 * services may count the same VM, and all VMs of a service without a fresh report count, so that the
 * room is rather too large: jobs are refused by it.
 */
export function attainableCpuOf(service: string, input: AttainableInput): number {
  const { vms, reports, sparePool, movingTo, fitsPool } = input
  const cpuPerVm = cpuPerVmOf(vms)
  /** Number of VMs by pool that are in the service's pool or fit it. */
  const counts = new Map<string, number>()
  for (const vm of vms) {
    const pool = movingTo.get(vm.name) ?? vm.pool
    if (!IS_ATTAINABLE[vm.state] || (pool !== service && !fitsPool(vm, service))) continue
    counts.set(pool, (counts.get(pool) ?? 0) + 1)
  }
  let attainable = 0
  for (const [pool, count] of counts) {
    const report = pool === service || pool === sparePool ? undefined : reports.get(pool)
    const needed = report ? neededVms(report, report.timelyCpu, cpuPerVm) : 0
    attainable += Math.max(0, count - needed)
  }
  return attainable * cpuPerVm
}
