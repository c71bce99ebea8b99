/** Starts operations on VMs. One transaction writes the rows of the VM and its wave. */
import { waveKey } from '../fleet/index.js'
import type { Operation, VmRow, WaveRow } from '../fleet/index.js'
import { newOpId } from '../platform/index.js'
import type { RowWrite } from '../platform/index.js'
import { writeUnderLease } from './context.js'
import type { KeeperContext } from './context.js'
import type { FleetState, Versioned } from './fleetState.js'

/** Starts the move of a VM to another pool. */
export function startMove(
  ctx: KeeperContext,
  fence: number,
  state: FleetState,
  vmId: string,
  toPool: string,
): Promise<boolean> {
  const vm = state.vms.get(vmId)!
  const operation = newOperation(vm.value, { kind: 'move', toPool })
  const writes = [evacuateWrite(vm, operation)]
  return writeUnderLease(ctx, fence, 'startMove', writes, operation.id)
}

/** Starts the maintenance of a VM as a step of a wave. */
export function startMaintenance(
  ctx: KeeperContext,
  fence: number,
  state: FleetState,
  vmId: string,
  wave: string,
): Promise<boolean> {
  const vm = state.vms.get(vmId)!
  const operation = newOperation(vm.value, { kind: 'maintain', wave })
  const row = state.waves.get(wave)
  const previous = row?.value ?? newWaveRow(wave, ctx.hall)
  const value: WaveRow = { ...previous, doing: [...previous.doing, vmId] }
  const writes = [
    evacuateWrite(vm, operation),
    { key: waveKey(wave, ctx.hall), version: row?.version ?? 0, value },
  ]
  return writeUnderLease(ctx, fence, 'startMaintenance', writes, operation.id)
}

function newOperation(
  vm: VmRow,
  details: Pick<Operation, 'kind' | 'toPool' | 'wave'>,
): Operation {
  const id = newOpId(details.kind)
  return { ...details, id, fromIncarnation: vm.incarnation, services: [] }
}

/** Initial row of a wave in a hall. */
export function newWaveRow(wave: string, hall: string): WaveRow {
  return { wave, hall, done: [], doing: [], halted: '', finished: false }
}

function evacuateWrite(vm: Versioned<VmRow>, operation: Operation): RowWrite {
  const { key, version, value } = vm
  const generation = value.generation + 1
  return { key, version, value: { ...value, state: 'evacuating', generation, operation } }
}
