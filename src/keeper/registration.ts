/** Updates VM rows for VMs that are new, changed or missing on the platform's list. */
import { vmKey } from '../fleet/index.js'
import type { VmRow } from '../fleet/index.js'
import type { ListedVm, RowWrite } from '../platform/index.js'
import { monotonicMs } from '../shared/index.js'
import { RESERVE_POOL } from '../table/index.js'
import { writeUnderLease } from './context.js'
import type { KeeperContext } from './context.js'
import type { FleetState, Versioned } from './fleetState.js'

/** Time for which a VM must be missing before it counts as gone, in ms: the list may lag. */
const GONE_AFTER_MS = 5000

/**
 * Updates the rows of VMs from the list, except while an operation on the VM is running.
 * @param missingSince when each VM was first missing from the list, in monotonic time.
 */
export async function registerVms(
  ctx: KeeperContext,
  fence: number,
  state: FleetState,
  missingSince: Map<string, number>,
): Promise<void> {
  const writes: RowWrite[] = []
  for (const vm of state.listed.values()) {
    missingSince.delete(vm.id)
    const known = state.vms.get(vm.id)
    const write = known ? reactivateWrite(known, vm) : newVmWrite(ctx, vm)
    if (write) writes.push(write)
  }
  for (const known of state.vms.values()) {
    if (state.listed.has(known.value.id)) continue
    const write = goneWrite(ctx, known, missingSince)
    if (write) writes.push(write)
  }
  if (writes.length > 0) await writeUnderLease(ctx, fence, 'registerVms', writes)
}

function newVmWrite(ctx: KeeperContext, vm: ListedVm): RowWrite {
  const { id, rack, incarnation, cpus, memoryGb } = vm
  const { hall } = ctx
  ctx.log.event('vmRegistered', { vm: id, rack, pool: RESERVE_POOL })
  const place = { id, hall, rack, pool: RESERVE_POOL }
  const value: VmRow = {
    ...place,
    generation: 1,
    incarnation,
    state: 'active',
    cpus,
    memoryGb,
  }
  return { key: vmKey(hall, id), version: 0, value }
}

/** Write for a VM that restarted, was replaced, or is listed again. */
function reactivateWrite(known: Versioned<VmRow>, vm: ListedVm): RowWrite | undefined {
  const { key, version, value } = known
  const restarted = value.incarnation !== vm.incarnation
  if (value.operation || (!restarted && value.state !== 'gone')) return undefined
  const { rack, incarnation } = vm
  const generation = value.generation + 1
  const updated: VmRow = { ...value, rack, incarnation, generation, state: 'active' }
  return { key, version, value: updated }
}

function goneWrite(
  ctx: KeeperContext,
  known: Versioned<VmRow>,
  missingSince: Map<string, number>,
): RowWrite | undefined {
  const { key, version, value } = known
  if (value.state === 'gone' || value.operation) return undefined
  const since = missingSince.get(value.id) ?? monotonicMs()
  missingSince.set(value.id, since)
  if (monotonicMs() - since < GONE_AFTER_MS) return undefined
  ctx.log.event('vmGone', { vm: value.id, pool: value.pool })
  const generation = value.generation + 1
  return { key, version, value: { ...value, state: 'gone', generation } }
}
