/**
 * Calls to targets, directly or through other nodes. The owner repeats a forwarded call that fails
 * or was not sent, after it has checked that it still may.
 */
import type {
  OrderFailure,
  OrderResult,
  TargetLink,
  TargetOrders,
} from '../ports/index.js'
import { err } from 'neverthrow'
import { monotonicMs } from '../shared/index.js'
import { AVOID_AFTER_FAILURE_MS, STARTS_AT_ONCE } from './constants.js'
import type { ForwarderChoice } from './forwarderChoice.js'
import type { Forwarder, NewCall } from './forwarder.js'
import { decodeResult, unansweredError, withoutEmptyTexts } from './messages.js'
import type { AnswerValues, CallKind, CalledTarget } from './messages.js'

/** Orders of one kind. */
type OrderOf<K extends CallKind> = Parameters<TargetLink[K]>[0]

/** Failures that the target itself has told. */
const FINAL_FAILURES: ReadonlySet<OrderFailure> = new Set(['gone', 'fenced'])

/** Failures of calls without an answer, by their outcome. */
const UNANSWERED: Record<
  'lost' | 'notSent',
  { failure: OrderFailure; reason(address: string): string }
> = {
  lost: {
    failure: 'unanswered',
    reason: (address) => `no answer from forwarder ${address}`,
  },
  notSent: {
    failure: 'notSent',
    reason: (address) => `not sent to forwarder ${address}`,
  },
}

/** Creates the calls of a node to its targets. */
export function createForwardedOrders(opts: {
  /** Calls targets directly. */
  direct: TargetOrders
  choice: Pick<ForwarderChoice, 'forwarderFor' | 'noteOpened' | 'noteClosed'>
}): TargetOrders {
  return {
    open: ({ id, address }) => createForwardedLink({ ...opts, target: { id, address } }),
  }
}

function createForwardedLink({
  direct,
  choice,
  target,
}: Parameters<typeof createForwardedOrders>[0] & { target: CalledTarget }): TargetLink {
  let link: TargetLink | undefined
  /** Forwarder that may keep connections to the target. */
  let lastUsed: Forwarder | undefined
  /** Forwarder that did not reach the target lately, and whether another one did not either. */
  let avoided: { forwarder: Forwarder; until: number; isDirect: boolean } | undefined
  choice.noteOpened()

  function currentForwarder(): Forwarder | undefined {
    if (avoided && monotonicMs() >= avoided.until) avoided = undefined
    if (avoided?.isDirect) return undefined
    return choice.forwarderFor(target.id, avoided?.forwarder)
  }

  function avoid(forwarder: Forwarder): void {
    // What a lost forwarder leaves unanswered tells nothing of the target.
    if (!forwarder.isUsable()) return
    const until = monotonicMs() + AVOID_AFTER_FAILURE_MS
    const isDirect = avoided !== undefined && avoided.forwarder !== forwarder
    avoided = { forwarder, until, isDirect }
  }

  function callDirectly<K extends CallKind>(
    kind: K,
    order: OrderOf<K>,
    timeoutMs: number,
  ): OrderResult<AnswerValues[K]> {
    link ??= direct.open(target)
    const call = link[kind] as (
      each: OrderOf<K>,
      ms: number,
    ) => OrderResult<AnswerValues[K]>
    return call(order, timeoutMs)
  }

  async function call<K extends CallKind>(
    kind: K,
    order: OrderOf<K>,
    timeoutMs: number,
  ): OrderResult<AnswerValues[K]> {
    const forwarder = currentForwarder()
    if (!forwarder) return callDirectly(kind, order, timeoutMs)
    lastUsed = forwarder
    const sent = withoutEmptyTexts(order)
    const outcome = await forwarder.call({
      kind,
      target,
      order: sent,
      timeoutMs,
    } as NewCall)
    const unanswered = (reason: string) =>
      err(unansweredError(`orders.${kind}`, target.address, reason))
    if (typeof outcome !== 'string') {
      const res = decodeResult(kind, outcome, target)
      if (res.isOk() || FINAL_FAILURES.has(res.error.failure)) return res
      // The target may be out of reach of the forwarder alone.
      avoid(forwarder)
      if (res.error.cause.failure !== 'unreachable') return res
      return unanswered(`out of reach of forwarder ${forwarder.address}`)
    }
    const { failure, reason } = UNANSWERED[outcome]
    return unanswered(reason(forwarder.address)).mapErr((each) => ({ ...each, failure }))
  }

  return {
    forwarder: () => currentForwarder()?.address,
    startsAtOnce: () => (currentForwarder() ? STARTS_AT_ONCE : 1),
    start: (order, timeoutMs) => call('start', order, timeoutMs),
    stop: (order, timeoutMs) => call('stop', order, timeoutMs),
    pace: (order, timeoutMs) => call('pace', order, timeoutMs),
    sync: (order, timeoutMs) => call('sync', order, timeoutMs),
    close() {
      choice.noteClosed()
      link?.close()
      lastUsed?.tell({ kind: 'close', target, timeoutMs: 0 })
    },
  }
}
