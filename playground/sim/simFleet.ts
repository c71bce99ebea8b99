/** VMs of the stand-in platform and the targets that run on them. */
import type { Resources, RowKey } from '../../src/ports/index.js'
import type { RowTable } from './rowTable.js'
import { createSimTarget } from './simTarget.js'
import type { RunLedger } from './runLedger.js'
import type { SimTarget, TargetFaults } from './simTarget.js'
import { HOST } from './wire.js'

/** State of a VM's target in the list of targets; `none`: the list has no entry for it. */
export type Listing = 'ready' | 'draining' | 'none'

/** A VM of the stand-in with its current target, if any. */
export interface SimVm {
  name: string
  pool: string
  state: 'up' | 'moving' | 'upkeep' | 'down'
  hall: string
  labels: string[]
  capacity: Resources
  target: SimTarget | undefined
  listing: Listing
  port: number
}

/** Records that a VM had its maintenance in a wave. */
export interface MaintenanceRecord {
  vm: string
  wave: number
}

/** The VMs and operations on them. */
export interface SimFleet {
  vms: SimVm[]
  maintained: MaintenanceRecord[]
  /** Adds a VM without a target. */
  add(pool: string, hall: string, capacity: Resources): SimVm
  /** Writes the row of the target on a VM if the VM is up and listed. */
  sendHeartbeat(vm: SimVm): void
  /** Changes the listing of a VM and writes or removes the row at once. */
  list(vm: SimVm, listing: Listing): void
  /** Starts a new incarnation of the target on a VM, under `id` or, by default, a new id. */
  startTarget(vm: SimVm, id?: string): void
  /** Crashes the target on a VM, removes its row and ends its connections. */
  endTarget(vm: SimVm): void
  /** Ends the target on a VM and starts the next one in `pool` when the operation is over. */
  takeOffline(vm: SimVm, state: SimVm['state'], pool: string): void
  close(): void
}

/** Creates a fleet without VMs. */
export function createSimFleet(opts: {
  table: RowTable
  ledger: RunLedger
  /** Duration of a move or maintenance, in ms. */
  offlineMs: number
  /** Faults that each incarnation of a target has from its start; none by default. */
  targetFaults?: (() => Partial<TargetFaults>) | undefined
  /** Called when the target on a VM has ended. */
  onTargetEnd?: (vm: SimVm) => void
}): SimFleet {
  const { table, ledger } = opts
  const vms: SimVm[] = []
  const timers = new Set<NodeJS.Timeout>()
  let incarnations = 0

  const rowOf = (id: string): RowKey => ({ table: 'servers', part: '', key: id })

  const sendHeartbeat = (vm: SimVm): void => {
    const { target, capacity } = vm
    if (!target || vm.state !== 'up' || vm.listing === 'none') return
    const value = {
      service: vm.pool,
      address: `${HOST}:${vm.port}`,
      born: target.lifeStartMs,
      zone: vm.hall,
      state: vm.listing,
      labels: vm.labels,
      capacity: { cpu: capacity.cpu, mem_mb: capacity.memMb, gpu: capacity.gpu },
    }
    table.put(rowOf(target.id), JSON.stringify(value))
  }

  const nextId = (): string => {
    incarnations++
    return `i-${incarnations.toString(16).padStart(8, '0')}`
  }

  const startTarget = (vm: SimVm, id = nextId()): void => {
    vm.target = createSimTarget({ id, capacity: vm.capacity, ledger })
    Object.assign(vm.target.faults, opts.targetFaults?.())
    vm.state = 'up'
    vm.listing = 'ready'
    sendHeartbeat(vm)
  }

  const endTarget = (vm: SimVm): void => {
    if (!vm.target) return
    vm.target.crash()
    table.remove(rowOf(vm.target.id))
    vm.target = undefined
    opts.onTargetEnd?.(vm)
  }

  return {
    vms,
    maintained: [],
    add(pool, hall, capacity) {
      const number = vms.length + 1
      const name = `m-${number}`
      const labels = ['a', `r1-${Math.ceil(number / 4)}`]
      const target = undefined
      const vm: SimVm = {
        name,
        pool,
        state: 'up',
        hall,
        labels,
        capacity,
        target,
        listing: 'ready',
        port: 0,
      }
      vms.push(vm)
      return vm
    },
    sendHeartbeat,
    list(vm, listing) {
      vm.listing = listing
      if (listing === 'none' && vm.target) table.remove(rowOf(vm.target.id))
      else sendHeartbeat(vm)
    },
    startTarget,
    endTarget,
    takeOffline(vm, state, pool) {
      endTarget(vm)
      vm.state = state
      vm.pool = pool
      const timer = setTimeout(() => {
        timers.delete(timer)
        startTarget(vm)
      }, opts.offlineMs)
      timers.add(timer)
    },
    close() {
      for (const timer of timers) clearTimeout(timer)
      for (const vm of vms) vm.target?.crash()
    },
  }
}
