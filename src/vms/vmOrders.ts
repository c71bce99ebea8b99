/** Orders to the cloud, and which of them the list of VMs does not show yet. */
import type { Authority } from '../ownership/index.js'
import type { Vm, VmCloud, VmOrderAnswer } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { ORDER_SETTLE_MS, TELL_ENDED_MS } from './constants.js'

/** An order that the list does not show yet. */
export interface PendingOrder {
  kind: 'move' | 'maintain'
  /** Pool of the VM once it is carried out. */
  pool: string
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
  settle(vms: ReadonlyMap<string, Vm>, sentAt: number): void
  /** Pools that VMs are on their way to. */
  movingTo(): Map<string, string>
  /** Lives that accepted orders have ended lately. */
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
  const by = { holder: opts.holder, token: authority.term }

  async function give(
    vm: Vm,
    order: Omit<PendingOrder, 'until'>,
    send: () => ReturnType<VmCloud['move']>,
  ): Promise<VmOrderAnswer | undefined> {
    if (!authority.isConfirmed()) return undefined
    const until = monotonicMs() + ORDER_SETTLE_MS
    pending.set(vm.name, { ...order, until })
    const res = await send()
    const answer = res.isOk() ? res.value : undefined
    const reason = res.isErr() ? describeError(res.error) : ''
    log.event('vmOrdered', { vm: vm.name, from: vm.pool, ...order, answer, reason })
    if (answer === 'accepted' && vm.targetId !== '') ended.set(vm.targetId, monotonicMs())
    if (answer === 'fenced') authority.lost('the cloud has seen a newer owner')
    // An unanswered order stays pending: it may have been carried out.
    if (answer !== undefined && answer !== 'accepted') pending.delete(vm.name)
    return answer
  }

  return {
    pending,
    move: (vm, pool) =>
      give(vm, { kind: 'move', pool }, () => cloud.move(vm.name, pool, by)),
    maintain: (vm, wave) =>
      give(vm, { kind: 'maintain', pool: vm.pool }, () =>
        cloud.maintain(vm.name, wave, by),
      ),
    settle(vms, sentAt) {
      for (const [name, order] of pending) {
        const vm = vms.get(name)
        if (!vm || vm.state !== 'up' || sentAt > order.until) pending.delete(name)
        else if (order.kind === 'move' && vm.pool === order.pool) pending.delete(name)
      }
    },
    movingTo() {
      const moves = [...pending].filter(([, { kind }]) => kind === 'move')
      return new Map(moves.map(([name, { pool }]) => [name, pool]))
    },
    endedLives() {
      for (const [id, at] of ended) {
        if (monotonicMs() - at > TELL_ENDED_MS) ended.delete(id)
      }
      return [...ended.keys()]
    },
  }
}
