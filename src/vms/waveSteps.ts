/** Advances maintenance waves: which VMs are emptied and which are maintained now. */
import type { Vm, Wave } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import {
  EMPTY_AND_MAINTAIN_MS,
  WAVE_HURRY_AFTER,
  WAVE_SPARE_ONLY_UNTIL,
  WAVE_TARGET,
} from './constants.js'
import type { VmInventory } from './vmInventory.js'
import type { VmOrders } from './vmOrders.js'
import type { WaveTracker, WaveProgress } from './waves.js'

/** VM counts of one service. */
export interface VmSupply {
  /** VMs that are up, not being emptied, without a pending order and in no cordoned hall. */
  usable: number
  /** VMs that it needs for work that can still be in time; at least one. */
  needed: number
}

/** State of the VMs at the start of a step. */
export interface FleetView {
  vms: ReadonlyMap<string, Vm>
  /** Number of runs that are or may be present on the VM. */
  runsOn(vm: Vm): number
  /** Whether nothing runs on the VM and its service starts no new tasks there. */
  isEmpty(vm: Vm): boolean
  /** Whether the data hall of the VM is cordoned, so that no task is started there. */
  isCordoned(vm: Vm): boolean
  /** VM counts of the service that the VM belongs to; undefined when they are unknown. */
  supplyOf(vm: Vm): VmSupply | undefined
}

/** Options of `advanceWaves`; the two sets are shared with the owner of the fleet. */
export interface WaveStepOptions {
  waves: WaveTracker
  orders: VmOrders
  /** VMs being emptied. */
  emptying: Set<string>
  /** VMs whose running tasks no longer delay their wave. */
  hurried: Set<string>
  getView(inventory: VmInventory): FleetView
}

/** Carries out one step of every wave and writes the changes. */
export async function advanceWaves(
  opts: WaveStepOptions,
  inventory: VmInventory,
): Promise<void> {
  const { waves, emptying, hurried } = opts
  for (const progress of waves.active(inventory)) await advanceWave(opts, inventory, progress)
  for (const name of [...emptying, ...hurried]) {
    const wanted = waves.active(inventory).some(({ wave, begun }) => {
      return wave.vms.includes(name) && !begun.has(name)
    })
    if (wanted) continue
    emptying.delete(name)
    hurried.delete(name)
  }
  await waves.save(inventory)
}

async function advanceWave(
  opts: WaveStepOptions,
  inventory: VmInventory,
  progress: WaveProgress,
): Promise<void> {
  const { waves, orders, emptying, hurried } = opts
  const view = opts.getView(inventory)
  const { wave } = progress
  const elapsedShare = (monotonicMs() - progress.seenAt) / wave.durationMs
  const pending = waves
    .pending(progress, inventory)
    .flatMap((name) => inventory.vms.get(name) ?? [])
    .filter((vm) => vm.state === 'up' && !orders.pending.has(vm.name))
    .sort((a, b) => compareCost(a, b, view))
  let free = wave.maxDown - countDown(wave, inventory, orders)
  let busy = Math.min(free, busyAtOnce(progress, pending.length))
  for (const vm of pending) {
    if (free <= 0) break
    if (view.isEmpty(vm)) {
      free--
      await maintain(opts, progress, vm)
    } else if (
      view.isCordoned(vm) ||
      (busy > 0 && (emptying.has(vm.name) || canSpare(vm, view, elapsedShare)))
    ) {
      busy--
      free--
      emptying.add(vm.name)
    } else emptying.delete(vm.name)
    if (elapsedShare > WAVE_HURRY_AFTER) hurried.add(vm.name)
  }
}

/**
 * Compares what it costs to take VMs: idle ones come first, so that a task that does not end holds
 * up no other VM of its wave. Among idle VMs and among those in use, the ones in cordoned data halls
 * come first, as no service can use them.
 */
function compareCost(a: Vm, b: Vm, view: FleetView): number {
  const runs = { a: view.runsOn(a), b: view.runsOn(b) }
  return (
    Number(runs.a > 0) - Number(runs.b > 0) ||
    Number(view.isCordoned(b)) - Number(view.isCordoned(a)) ||
    runs.a - runs.b
  )
}

/**
 * Whether the VM may be emptied now: at first only if its service does not need it. Otherwise, with
 * little spare capacity, a service whose only two VMs are both due starts nothing for 2 s.
 * @param elapsedShare share of the wave's duration that has passed
 */
function canSpare(vm: Vm, view: FleetView, elapsedShare: number): boolean {
  const supply = view.supplyOf(vm)
  return !supply || supply.usable > supply.needed || elapsedShare > WAVE_SPARE_ONLY_UNTIL
}

async function maintain(
  opts: WaveStepOptions,
  progress: WaveProgress,
  vm: Vm,
): Promise<void> {
  const answer = await opts.orders.maintain(vm, progress.wave.id)
  const begun = answer === 'accepted' || answer === 'notDue'
  if (begun) opts.waves.markBegun(progress, vm.name)
  if (answer === 'accepted') opts.emptying.delete(vm.name)
}

/** Number of VMs of a wave that are in maintenance, or may be: not listed, or with a pending order. */
function countDown(wave: Wave, { vms, isGone }: VmInventory, orders: VmOrders): number {
  return wave.vms.filter((name) => {
    const vm = vms.get(name)
    const mayBeAway = vm ? vm.state === 'maintenance' : !isGone(name)
    return mayBeAway || orders.pending.get(name)?.kind === 'maintain'
  }).length
}

/** Number of VMs in use to empty at the same time so that the wave is complete in time. */
function busyAtOnce(progress: WaveProgress, pending: number): number {
  const elapsedMs = monotonicMs() - progress.seenAt
  const leftMs = progress.wave.durationMs * WAVE_TARGET - elapsedMs
  if (leftMs <= EMPTY_AND_MAINTAIN_MS) return pending
  return Math.ceil((pending * EMPTY_AND_MAINTAIN_MS) / leftMs)
}
