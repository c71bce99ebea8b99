/** Advances maintenance waves: which VMs are emptied and which are maintained now. */
import type { Vm, VmOrderAnswer } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import {
  BUSY_BACKOFF_MS,
  EMPTY_AND_MAINTAIN_MS,
  REFUSED_BACKOFF_MS,
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
  for (const progress of waves.active(inventory))
    await advanceWave(opts, inventory, progress)
  const active = waves.active(inventory)
  for (const name of [...emptying, ...hurried]) {
    const isWanted = active.some(
      ({ wave, begun }) => wave.vms.includes(name) && !begun.has(name),
    )
    if (isWanted) continue
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
  const { orders, emptying, hurried } = opts
  const view = opts.getView(inventory)
  const { wave, unanswered } = progress
  const elapsedShare = (monotonicMs() - progress.seenAt) / wave.durationMs
  const due = dueVms(opts, inventory, progress).sort(
    (a, b) =>
      Number(unanswered.has(b.name)) - Number(unanswered.has(a.name)) ||
      compareCost(a, b, view),
  )
  let free = wave.maxDown - countDown(progress, inventory, orders)
  let busy = Math.min(free, busyAtOnce(progress, due.length))
  for (const vm of due) {
    // Its last order may still be carried out, so that it counts as down already.
    const isCounted = unanswered.has(vm.name)
    if (free <= 0 && !isCounted) break
    if (view.isEmpty(vm)) {
      if (!isCounted) free--
      await maintain(opts, progress, vm)
    } else if (
      isCounted ||
      view.isCordoned(vm) ||
      (busy > 0 && (emptying.has(vm.name) || canSpare(vm, view, elapsedShare)))
    ) {
      if (!isCounted) {
        busy--
        free--
      }
      emptying.add(vm.name)
    } else emptying.delete(vm.name)
    if (elapsedShare > WAVE_HURRY_AFTER) hurried.add(vm.name)
  }
}

/** VMs of the wave that can get an order now. */
function dueVms(
  { waves, orders }: WaveStepOptions,
  inventory: VmInventory,
  progress: WaveProgress,
): Vm[] {
  return waves
    .pending(progress, inventory)
    .flatMap((name) => inventory.vms.get(name) ?? [])
    .filter(
      ({ name, state }) =>
        state === 'up' &&
        !orders.pending.has(name) &&
        (progress.retryAt.get(name) ?? -Infinity) <= monotonicMs(),
    )
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
  const isSpare = supply !== undefined && supply.usable > supply.needed
  return isSpare || elapsedShare > WAVE_SPARE_ONLY_UNTIL
}

/** What follows from the answer to an order, or from none. */
const ON_ANSWER: Record<
  VmOrderAnswer | 'none',
  (opts: WaveStepOptions, progress: WaveProgress, vm: string) => void
> = {
  accepted({ waves, emptying }, progress, vm) {
    waves.markBegun(progress, vm)
    progress.unanswered.delete(vm)
    emptying.delete(vm)
  },
  none: (_opts, { unanswered }, vm) => void unanswered.add(vm),
  // An earlier order without an answer may be the reason.
  busy: (_opts, { retryAt }, vm) => void retryAt.set(vm, monotonicMs() + BUSY_BACKOFF_MS),
  // Nothing has begun: the request of the operators names the VM, whatever the cloud knows of it.
  notDue: refuse,
  unknownVm: refuse,
  fenced: () => undefined,
}

function refuse(
  { emptying }: WaveStepOptions,
  { unanswered, retryAt }: WaveProgress,
  vm: string,
): void {
  unanswered.delete(vm)
  emptying.delete(vm)
  retryAt.set(vm, monotonicMs() + REFUSED_BACKOFF_MS)
}

async function maintain(
  opts: WaveStepOptions,
  progress: WaveProgress,
  vm: Vm,
): Promise<void> {
  const { orders } = opts
  const answer = await orders.maintain(vm, progress.wave.id)
  // Without a pending order, none was sent.
  if (answer === undefined && !orders.pending.has(vm.name)) return
  ON_ANSWER[answer ?? 'none'](opts, progress, vm.name)
}

/** Number of VMs of a wave that are in maintenance, or may be: unlisted, or with an open order. */
function countDown(
  { wave, unanswered }: WaveProgress,
  { vms, isGone }: VmInventory,
  orders: VmOrders,
): number {
  return wave.vms.filter((name) => {
    if (isGone(name)) return false
    const state = vms.get(name)?.state
    const isOrdered = orders.pending.get(name)?.kind === 'maintain'
    return !state || state === 'maintenance' || isOrdered || unanswered.has(name)
  }).length
}

/** Number of VMs in use to empty at the same time so that the wave is complete in time. */
function busyAtOnce(progress: WaveProgress, pending: number): number {
  const elapsedMs = monotonicMs() - progress.seenAt
  const leftMs = progress.wave.durationMs * WAVE_TARGET - elapsedMs
  if (leftMs <= EMPTY_AND_MAINTAIN_MS) return pending
  return Math.ceil((pending * EMPTY_AND_MAINTAIN_MS) / leftMs)
}
