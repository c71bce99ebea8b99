/** Steps of maintenance waves: which VMs are emptied, and which are maintained now. */
import type { Vm, Wave } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import {
  EMPTY_AND_MAINTAIN_MS,
  WAVE_HURRY_AFTER,
  WAVE_SPARE_ONLY_UNTIL,
  WAVE_TARGET,
} from './constants.js'
import type { VmOrders } from './vmOrders.js'
import type { WaveTracker, WaveProgress } from './waves.js'

/** VMs of one service. */
export interface VmSupply {
  /** Those that are up and not being emptied. */
  usable: number
  /** Those that it needs for what can still be in time; at least one. */
  needed: number
}

/** What is known of the VMs at the start of a step. */
export interface FleetView {
  vms: ReadonlyMap<string, Vm>
  /** Runs that are present on the VM or may be. */
  runsOn(vm: Vm): number
  /** Whether nothing runs on the VM and its service starts nothing there any more. */
  isEmpty(vm: Vm): boolean
  /** VMs that the service of the VM may use and that it needs; undefined where unknown. */
  supplyOf(vm: Vm): VmSupply | undefined
}

/** What the steps work with; the two sets are shared with the owner of the fleet. */
export interface WaveStepOptions {
  waves: WaveTracker
  orders: VmOrders
  /** VMs being emptied. */
  emptying: Set<string>
  /** VMs whose tasks do not hold up their wave any more. */
  hurried: Set<string>
  getView(): FleetView
}

/** Carries out one step of every wave, and writes what has changed. */
export async function advanceWaves(
  opts: WaveStepOptions,
  requested: Wave[],
): Promise<void> {
  const { waves, emptying, hurried } = opts
  await waves.update(requested)
  for (const progress of waves.active()) await advanceWave(opts, progress)
  for (const name of [...emptying, ...hurried]) {
    const wanted = waves.active().some(({ wave, begun }) => {
      return wave.vms.includes(name) && !begun.has(name)
    })
    if (wanted) continue
    emptying.delete(name)
    hurried.delete(name)
  }
  await waves.save(opts.getView().vms)
}

async function advanceWave(opts: WaveStepOptions, progress: WaveProgress): Promise<void> {
  const { waves, orders, emptying, hurried } = opts
  const view = opts.getView()
  const { wave } = progress
  const used = (monotonicMs() - progress.seenAt) / wave.durationMs
  const pending = waves
    .pending(progress, view.vms)
    .filter((vm) => vm.state === 'up' && !orders.pending.has(vm.name))
    .sort((a, b) => view.runsOn(a) - view.runsOn(b))
  let free = wave.maxDown - countDown(wave, view, orders)
  let busy = Math.min(free, busyAtOnce(progress, pending.length))
  for (const vm of pending) {
    if (free <= 0) break
    if (view.isEmpty(vm)) {
      free--
      await maintain(opts, progress, vm)
    } else if (busy > 0 && (emptying.has(vm.name) || canSpare(vm, view, used))) {
      busy--
      free--
      emptying.add(vm.name)
    } else emptying.delete(vm.name)
    if (used > WAVE_HURRY_AFTER) hurried.add(vm.name)
  }
}

/**
 * Whether the VM may be emptied now: at first only one that its service can do without.
 * On a day with little room a service whose both VMs were due started nothing for 2 s.
 * @param used part of the wave's time that has passed
 */
function canSpare(vm: Vm, view: FleetView, used: number): boolean {
  const supply = view.supplyOf(vm)
  return !supply || supply.usable > supply.needed || used > WAVE_SPARE_ONLY_UNTIL
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

/** VMs of a wave that are away, or may be by an order of ours. */
function countDown(wave: Wave, { vms }: FleetView, orders: VmOrders): number {
  return wave.vms.filter((name) => {
    const away = vms.get(name)?.state === 'maintenance'
    return away || orders.pending.get(name)?.kind === 'maintain'
  }).length
}

/** VMs in use to empty at the same time, so that the wave is over in time. */
function busyAtOnce(progress: WaveProgress, pending: number): number {
  const passed = monotonicMs() - progress.seenAt
  const leftMs = progress.wave.durationMs * WAVE_TARGET - passed
  if (leftMs <= EMPTY_AND_MAINTAIN_MS) return pending
  return Math.ceil((pending * EMPTY_AND_MAINTAIN_MS) / leftMs)
}
