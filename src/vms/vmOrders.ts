/** Orders to the cloud, and which of them the list of VMs does not show yet. */
import type { Authority } from '../ownership/index.js'
import type { Vm, VmCloud, VmOrderAnswer } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { ORDER_VISIBLE_WITHIN_MS, REPORT_ENDED_MS } from './constants.js'

/** An order that the list does not show yet. */
export interface PendingOrder {
  kind: 'move' | 'maintain'
  /** Pool of the VM once it is carried out. */
  pool: string
  /** Life that the order ends. */
  targetId: string
  /** Steady time of the order, in ms. */
  at: number
  /** Steady time up to which the list may still not show it, in ms. */
  until: number
}

/** Gives orders as long as this node is the one to give them. */
export interface VmOrders {
  /** Orders by VM. */
  readonly pending: ReadonlyMap<string, PendingOrder>
  /** Undefined when the order was not given or not answered. */
  move(vm: Vm, pool: string): Promise<VmOrderAnswer | undefined>
  /** Undefined when the order was not given or not answered. */
  maintain(vm: Vm, wave: number): Promise<VmOrderAnswer | undefined>
  /** Forgets the orders that a list asked for at `sentAt` shows, or that it never will. */
  applyList(vms: ReadonlyMap<string, Vm>, sentAt: number): void
  /** Pools that VMs are on their way to. */
  movingTo(): Map<string, string>
  /** Lives that orders have ended lately, as the list shows. */
  endedLives(): string[]
}

/** Creates the book of orders of one owner of the fleet. */
export function createVmOrders(opts: {
  cloud: VmCloud
  authority: Authority
  /** Names this node to the cloud. */
  holder: string
  log: Logger
}): VmOrders {
  const { cloud, authority, log } = opts
  const pending = new Map<string, PendingOrder>()
  /** Lives that our orders have ended, with the time of the order. */
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
    if (answer === 'fenced') authority.lost('the cloud has seen a newer owner')
    // An unanswered order stays pending: it may have been carried out.
    if (answer !== undefined && answer !== 'accepted') pending.delete(vm.name)
    return answer
  }

  /**
   * Compares an order with a later reading of the list. Only that shows that a life is
   * over: an order that was done already is accepted as well, and ends nothing.
   */
  function applyListTo(
    name: string,
    order: PendingOrder,
    vm: Vm | undefined,
    readAt: number,
  ): void {
    const isOver = !vm || vm.state !== 'up' || vm.targetId !== order.targetId
    if (isOver && order.targetId !== '') ended.set(order.targetId, monotonicMs())
    if (isOver || readAt > order.until) pending.delete(name)
  }

  return {
    pending,
    move: (vm, pool) =>
      sendOrder(vm, { kind: 'move', pool }, () => cloud.move(vm.name, pool, sender)),
    maintain: (vm, wave) =>
      sendOrder(vm, { kind: 'maintain', pool: vm.pool }, () =>
        cloud.maintain(vm.name, wave, sender),
      ),
    applyList(vms, sentAt) {
      for (const [name, order] of pending) {
        // A reading from before the order says nothing about it.
        if (sentAt >= order.at) applyListTo(name, order, vms.get(name), sentAt)
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
