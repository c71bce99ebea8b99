/** Cloud with VMs in memory; its faults can be changed at any time. */
import { err, ok } from 'neverthrow'
import { listOf, vmOf } from '../../../test/fixtures.js'
import { VM_ORDER_TIMEOUT_MS } from '../../ports/index.js'
import type { Vm, VmCloud, VmList, VmOrderAnswer } from '../../ports/index.js'
import { callError, sleep } from '../../shared/index.js'

const MAINTENANCE_MS = 2000
const MOVE_MS = 1500
/** Time after which the client gives up a read of the list, in ms. */
const LIST_TIMEOUT_MS = 1500

/** Time for which incomplete lists lack the same VM, in ms. */
const OMITTED_MS = 4000

/** What becomes of an order. */
export type OrderFate = 'done' | 'lost' | 'unanswered' | 'late' | 'notDue' | 'busy'
/** What a read of the list returns. */
export type ListFate =
  'whole' | 'failed' | 'silent' | 'late' | 'partial' | 'unreadable' | 'stale'

/** Maintenance of a VM that has begun. */
export interface BegunMaintenance {
  vm: string
  wave: number
  /** Number of VMs of the wave that were in maintenance at that moment. */
  others: number
}

/** The cloud and its VMs. */
export interface SimCloud {
  vms: Vm[]
  begun: BegunMaintenance[]
  faults: { order: OrderFate; list: ListFate; lateMs: number; which: number }
  /** The cloud as one owner reaches it; `isReplaced` tells whether another owner has started. */
  forOwner(isReplaced: () => boolean): VmCloud
  /** Removes a VM for good. */
  remove(name: string): void
  /** Number of VMs of a wave that are in maintenance for it. */
  countDown(wave: number): number
  hasBegun(wave: number, vm: string): boolean
}

/** Creates the cloud. */
export function createSimCloud(pools: readonly string[]): SimCloud {
  const vms = pools.map((pool, index) => vmOf(index + 1, pool))
  const begun: BegunMaintenance[] = []
  const faults: SimCloud['faults'] = { order: 'done', list: 'whole', lateMs: 0, which: 0 }
  /** Wave for which each VM is in maintenance. */
  const waveOf = new Map<string, number>()
  /** Earlier states of the list, newest last. */
  const history: { at: number; list: VmList }[] = []
  let lives = vms.length

  const find = (name: string): Vm | undefined => vms.find((vm) => vm.name === name)
  const record = (): void => {
    history.push({ at: performance.now(), list: listOf(vms) })
    if (history.length > 100) history.shift()
  }
  record()

  const countDown = (wave: number): number =>
    [...waveOf.values()].filter((each) => each === wave).length
  const hasBegun = (wave: number, vm: string): boolean =>
    begun.some((each) => each.wave === wave && each.vm === vm)

  function takeOffline(vm: Vm, change: Partial<Vm>, ms: number): void {
    Object.assign(vm, change, { targetId: '' })
    record()
    setTimeout(() => {
      lives++
      waveOf.delete(vm.name)
      Object.assign(vm, { state: 'up', targetId: `i${lives}` })
      record()
    }, ms)
  }

  function maintain(name: string, wave: number): VmOrderAnswer {
    const vm = find(name)
    if (!vm) return 'unknownVm'
    if (hasBegun(wave, name)) return 'accepted'
    if (vm.state !== 'up') return 'busy'
    begun.push({ vm: name, wave, others: countDown(wave) })
    waveOf.set(name, wave)
    takeOffline(vm, { state: 'maintenance' }, MAINTENANCE_MS)
    return 'accepted'
  }

  function move(name: string, pool: string): VmOrderAnswer {
    const vm = find(name)
    if (!vm) return 'unknownVm'
    if (vm.pool === pool) return 'accepted'
    if (vm.state !== 'up') return 'busy'
    takeOffline(vm, { state: 'moving', pool }, MOVE_MS)
    return 'accepted'
  }

  const noAnswer = async (step: string, ms: number) => {
    await sleep(ms)
    return err(callError(step, 'cloud', 'unknown', 'no answer'))
  }

  /** Effect of a fault on an order that `carryOut` carries out. */
  const FATES: Record<
    OrderFate,
    (
      carryOut: () => VmOrderAnswer,
      isReplaced: () => boolean,
    ) => ReturnType<VmCloud['move']>
  > = {
    done: async (carryOut) => ok(carryOut()),
    lost: () => noAnswer('cloud.order', VM_ORDER_TIMEOUT_MS),
    unanswered(carryOut) {
      carryOut()
      return noAnswer('cloud.order', VM_ORDER_TIMEOUT_MS)
    },
    late(carryOut, isReplaced) {
      // The connection of an owner that has ended is reset, so that its orders arrive no more.
      setTimeout(() => isReplaced() || carryOut(), faults.lateMs)
      return noAnswer('cloud.order', VM_ORDER_TIMEOUT_MS)
    },
    notDue: async () => ok('notDue'),
    busy: async () => ok('busy'),
  }

  /** The VM that incomplete lists lack; another one every `OMITTED_MS`. */
  const omitted = (): Vm => {
    const turn = Math.floor(performance.now() / OMITTED_MS)
    return vms[(faults.which + turn) % vms.length]!
  }
  const without = (vm: Vm): Vm[] => vms.filter((each) => each !== vm)

  const LISTS: Record<ListFate, () => ReturnType<VmCloud['list']>> = {
    whole: async () => ok(listOf(vms)),
    failed: () => noAnswer('cloud.list', 0),
    silent: () => noAnswer('cloud.list', LIST_TIMEOUT_MS),
    async late() {
      const list = listOf(vms)
      await sleep(LIST_TIMEOUT_MS - 1)
      return ok(list)
    },
    partial: async () => ok(listOf(without(omitted()))),
    unreadable: async () =>
      ok({
        ...listOf(without(omitted())),
        unreadable: faults.which % 2 === 0 ? [omitted().name] : [],
        isComplete: faults.which % 2 === 0,
      }),
    async stale() {
      const before = performance.now() - 1000
      return ok((history.findLast(({ at }) => at <= before) ?? history[0]!).list)
    },
  }

  return {
    vms,
    begun,
    faults,
    forOwner(isReplaced) {
      return {
        list: () => LISTS[faults.list](),
        move: (vm, pool) => FATES[faults.order](() => move(vm, pool), isReplaced),
        maintain: (vm, wave) => FATES[faults.order](() => maintain(vm, wave), isReplaced),
      }
    },
    remove(name) {
      const at = vms.findIndex((vm) => vm.name === name)
      if (at >= 0) vms.splice(at, 1)
      waveOf.delete(name)
      record()
    },
    countDown,
    hasBegun,
  }
}
