/** Sends orders to the cloud and tracks those that the list of VMs does not show yet. */
import type { Authority } from '../ownership/index.js'
import type { Vm, VmCloud, VmOrderAnswer } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { ORDER_VISIBLE_WITHIN_MS, REPORT_ENDED_MS } from './constants.js'
import type { VmInventory } from './vmInventory.js'

/** An order that may still be carried out, or whose VM has no next life in the list yet. */
export interface PendingOrder {
  kind: 'move' | 'maintain'
  /** Pool of the VM once the order is carried out. */
  pool: string
  /** Life that the order ends. */
  targetId: string
  /** Monotonic time of the order, in ms. */
  at: number
  /** Monotonic time until which the list may not show it yet, in ms. */
  until: number
}

/** Sends orders while the authority of this node is confirmed. */
export interface VmOrders {
  /** Pending orders by VM. */
  readonly pending: ReadonlyMap<string, PendingOrder>
  /** Moves a VM to a pool; undefined when the order was not sent or not answered. */
  move(vm: Vm, pool: string): Promise<VmOrderAnswer | undefined>
  /** Maintains a VM for a wave; undefined when the order was not sent or not answered. */
  maintain(vm: Vm, wave: number): Promise<VmOrderAnswer | undefined>
  /** Removes pending orders that the list shows, or that have expired. */
  applyList(inventory: VmInventory): void
  /** Pools that VMs are being moved to, by VM. */
  movingTo(): Map<string, string>
  /** Lives that orders have recently ended, according to the list. */
  endedLives(): string[]
}

/** Creates the orders of one owner of the fleet. */
export function createVmOrders(opts: {
  cloud: VmCloud
  authority: Authority
  /** Name of this node in orders to the cloud. */
  holder: string
  log: Logger
}): VmOrders {
  const { cloud, authority, log } = opts
  const pending = new Map<string, PendingOrder>()
  /** Lives that orders have ended, with the monotonic time at which that was seen, in ms. */
  const ended = new Map<string, number>()
  const sender = { holder: opts.holder, token: authority.term }

  async function sendOrder(
    vm: Vm,
    order: Pick<PendingOrder, 'kind' | 'pool'>,
    send: () => ReturnType<VmCloud['move']>,
  ): Promise<VmOrderAnswer | undefined> {
    if (!authority.isConfirmed()) return undefined
    const at = monotonicMs()
    const { targetId } = vm
    pending.set(vm.name, { ...order, targetId, at, until: at + ORDER_VISIBLE_WITHIN_MS })
    const res = await send()
    const answer = res.isOk() ? res.value : undefined
    const reason = res.isErr() ? describeError(res.error) : ''
    log.event('vmOrdered', { vm: vm.name, from: vm.pool, ...order, answer, reason })
    if (answer === 'fenced') authority.markLost('the cloud has seen a newer owner')
    // An order without an answer stays pending: it may have been carried out.
    if (answer !== undefined && answer !== 'accepted') pending.delete(vm.name)
    return answer
  }

  /**
   * Compares an order with a later read of the list. Only the list shows that a life has ended: an
   * order that was already carried out is accepted again and ends nothing. The order stays pending
   * until the list shows the next life, as a list may be older than the one before.
   */
  function applyListTo(
    name: string,
    order: PendingOrder,
    { vms, requestedAt, isGone }: VmInventory,
  ): void {
    const vm = vms.get(name)
    const isAway = vm !== undefined && vm.state !== 'up'
    const isOver = vm ? !isAway && vm.targetId !== order.targetId : isGone(name)
    if ((isAway || isOver) && order.targetId !== '') noteEnded(order.targetId)
    // The next life may be up under the same id.
    if (!isAway && vm?.targetId === order.targetId) ended.delete(order.targetId)
    if (isAway) order.until = requestedAt + ORDER_VISIBLE_WITHIN_MS
    if (isOver || (vm && requestedAt > order.until)) pending.delete(name)
  }

  function noteEnded(life: string): void {
    if (!ended.has(life)) ended.set(life, monotonicMs())
  }

  return {
    pending,
    move: (vm, pool) =>
      sendOrder(vm, { kind: 'move', pool }, () => cloud.move(vm.name, pool, sender)),
    maintain: (vm, wave) =>
      sendOrder(vm, { kind: 'maintain', pool: vm.pool }, () =>
        cloud.maintain(vm.name, wave, sender),
      ),
    applyList(inventory) {
      for (const [name, order] of pending) {
        // A list that was requested before the order does not show its effect.
        if (inventory.requestedAt >= order.at) applyListTo(name, order, inventory)
      }
    },
    movingTo() {
      const moves = [...pending].filter(([, { kind }]) => kind === 'move')
      return new Map(moves.map(([name, { pool }]) => [name, pool]))
    },
    endedLives() {
      for (const [id, at] of ended) {
        if (monotonicMs() - at > REPORT_ENDED_MS) ended.delete(id)
      }
      return [...ended.keys()]
    },
  }
}
