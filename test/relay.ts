/** A path between one owner and its targets on which single calls or answers can be held. */
import { err } from 'neverthrow'
import type { OrderError, OrderResult, TargetOrders } from '../src/ports/index.js'
import { callError, sleep } from '../src/shared/index.js'

/** Time after which a call that is held, or lost, fails without an answer, in ms. */
const NO_ANSWER_MS = 60

type CallKind = 'start' | 'sync'

/** The path. */
export interface Relay {
  orders: TargetOrders
  /** Kinds of calls that are held from now on and go unanswered. */
  holds: Set<CallKind>
  /** Kinds of calls whose answers wait until the release. */
  holdsAnswers: Set<CallKind>
  /** Targets to which calls are lost. */
  lost: Set<string>
  /** Targets to which calls for reports are lost. */
  lostSyncs: Set<string>
  /** Number of calls and answers that are held. */
  held(): number
  /** Makes the calls that are held; they reach whichever incarnation of their target is there. */
  release(): void
}

/** Creates a path on which nothing is held. */
export function createRelay(orders: TargetOrders): Relay {
  /** Continue what is held. */
  const held: (() => void)[] = []
  const relay: Relay = {
    orders: { open },
    holds: new Set(),
    holdsAnswers: new Set(),
    lost: new Set(),
    lostSyncs: new Set(),
    held: () => held.length,
    release() {
      relay.holds.clear()
      relay.holdsAnswers.clear()
      for (const proceed of held.splice(0)) proceed()
    },
  }

  async function unanswered(): OrderResult<never> {
    await sleep(NO_ANSWER_MS)
    const cause = callError('test', 'target', 'unknown', 'no answer')
    const error: OrderError = { failure: 'unanswered', reason: 'no answer', cause }
    return err(error)
  }

  async function pass<T>(
    id: string,
    kind: CallKind,
    call: () => OrderResult<T>,
  ): OrderResult<T> {
    if (relay.lost.has(id) || (kind === 'sync' && relay.lostSyncs.has(id)))
      return unanswered()
    if (relay.holds.has(kind)) {
      held.push(() => void call())
      return unanswered()
    }
    const res = await call()
    if (!relay.holdsAnswers.has(kind)) return res
    await new Promise<void>((resolve) => void held.push(resolve))
    return res
  }

  function open(target: Parameters<TargetOrders['open']>[0]) {
    const link = orders.open(target)
    return {
      ...link,
      start: (order, ms) => pass(target.id, 'start', () => link.start(order, ms)),
      sync: (order, ms) => pass(target.id, 'sync', () => link.sync(order, ms)),
    } satisfies ReturnType<TargetOrders['open']>
  }

  return relay
}
