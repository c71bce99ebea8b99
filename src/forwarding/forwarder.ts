/**
 * Sends calls to targets through another node. Calls to all targets of that node share messages,
 * so that a call costs the owner a part of a message instead of an exchange over HTTP. While answers
 * are due, one message is always under way: its silence shows within `MESSAGE_TIMEOUT_MS` that
 * the node is lost, and then no answer to an earlier call can come any more.
 */
import { nanoid } from 'nanoid'
import { describeError, monotonicMs, parseJson, takeFitting } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import {
  HEARD_MS,
  LOST_PAUSE_MS,
  MAX_CALLS_PER_MESSAGE,
  MAX_FORWARDER_SHARE,
  MAX_MESSAGE_INTERVAL_MS,
  MAX_MESSAGES_UNDER_WAY,
  MAX_QUEUE_MS,
  MAX_TEXT_PER_MESSAGE,
  MESSAGE_TIMEOUT_MS,
  MIN_MESSAGE_INTERVAL_MS,
  MIN_ORDERS,
  NEWEST_ORDER_WEIGHT,
  PACE_FROM_SHARE,
  PROBE_INTERVAL_MS,
} from './constants.js'
import type { ForwardClient, ForwardResponse } from './forwardClient.js'
import { answersSchema } from './messages.js'
import type { ForwardedAnswer, ForwardedCall } from './messages.js'

/** Length of the id of a session, in characters: 60 random bits. */
const SESSION_LENGTH = 10

/**
 * What became of a call. `notSent`: the forwarder has not got it. `lost`: it may have been made, and
 * its answer will not come back.
 */
export type CallOutcome = 'notSent' | 'lost' | ForwardedAnswer

/** A call without its number. */
export type NewCall = ForwardedCall extends infer C
  ? C extends ForwardedCall
    ? Omit<C, 'seq'>
    : never
  : never

/** Another node that calls targets for this one. */
export interface Forwarder {
  readonly address: string
  /** Whether calls may be sent through it now. */
  isUsable(): boolean
  /** Whether it also answered just now, with processor time to spare. */
  isFit(): boolean
  /** Share of its processor time that it uses; 0 if it has not been heard lately. */
  busyShare(): number
  /**
   * Mean time of recent orders on the clock of this node, in ms; undefined with too few of them. It has
   * the delay of this node in it, so that it only tells something beside that of other forwarders.
   */
  orderMs(): number | undefined
  /** Uses the node no more for a while. */
  leaveAlone(): void
  /** Asks the node how busy it is, unless it has been heard lately. */
  probe(): void
  /** Makes a call. */
  call(call: NewCall): Promise<CallOutcome>
  /** Sends a call that has no answer. */
  tell(call: NewCall): void
}

/** Dependencies of a forwarder. */
export interface ForwarderOptions {
  address: string
  /** Sends a message; fails if no answer comes in time. */
  send: ForwardClient['send']
  /** Share of its processor time that this node uses; 0 by default. */
  ownShare?(): number
  log: Logger
}

/** A call that waits to be sent. */
interface Waiting {
  seq: number
  text: string
  settle(outcome: CallOutcome): void
  queuedAt: number
}

const MESSAGE_LIMITS = { size: MAX_TEXT_PER_MESSAGE, count: MAX_CALLS_PER_MESSAGE }

/**
 * Interval between two messages, in ms. A message costs about the same whatever it holds, so that an owner
 * at its limit sends fewer and larger ones.
 */
function messageIntervalMs(ownShare: number): number {
  const excess = Math.max(0, ownShare - PACE_FROM_SHARE) / (1 - PACE_FROM_SHARE)
  const rangeMs = MAX_MESSAGE_INTERVAL_MS - MIN_MESSAGE_INTERVAL_MS
  return MIN_MESSAGE_INTERVAL_MS + rangeMs * Math.min(1, excess)
}

const ignoreOutcome = (): void => undefined

/** Creates a forwarder; nothing is sent before the first call. */
export function createForwarder(opts: ForwarderOptions): Forwarder {
  const { address, send, log, ownShare = () => 0 } = opts
  let session = nanoid(SESSION_LENGTH)
  let life: string | undefined
  let nextSeq = 1
  let waiting: Waiting[] = []
  /** Calls that were sent, by number. */
  const pending = new Map<number, Waiting['settle']>()
  /** Messages of the present session without an answer so far. */
  let underWay = 0
  let sentAt = -Infinity
  let timer: NodeJS.Timeout | undefined
  let lostUntil = -Infinity
  let busyShare = 0
  let heardAt = -Infinity
  /** Moving average of the time that an order takes, in ms, and the number of orders in it. */
  let meanOrderMs = 0
  let orders = 0
  let orderedAt = -Infinity

  const isUsable = (): boolean => monotonicMs() >= lostUntil
  const isHeardWithin = (ms: number): boolean => monotonicMs() - heardAt < ms

  function noteOrder(tookMs: number): void {
    orders++
    orderedAt = monotonicMs()
    meanOrderMs += (tookMs - meanOrderMs) * Math.max(1 / orders, NEWEST_ORDER_WEIGHT)
  }

  /** Gives up all calls; the session is not continued. */
  function lose(reason: string): void {
    log.event('forwarderLost', { peer: address, reason, calls: pending.size })
    lostUntil = monotonicMs() + LOST_PAUSE_MS
    session = nanoid(SESSION_LENGTH)
    life = undefined
    underWay = 0
    const unsent = waiting
    const lost = [...pending.values()]
    waiting = []
    pending.clear()
    for (const settle of lost) settle('lost')
    for (const { settle } of unsent) settle('notSent')
  }

  /** Settles calls that have waited for so long that their owner must check them again. */
  function dropExpired(): void {
    const cutoff = monotonicMs() - MAX_QUEUE_MS
    const expired = waiting.filter(({ queuedAt }) => queuedAt < cutoff)
    if (expired.length === 0) return
    waiting = waiting.filter(({ queuedAt }) => queuedAt >= cutoff)
    for (const { settle } of expired) settle('notSent')
  }

  async function exchange(batch: Waiting[]): Promise<void> {
    const sentIn = session
    // No earlier call can be forgotten.
    if (pending.size === 0 && underWay === 0) life = undefined
    for (const { seq, settle } of batch)
      if (settle !== ignoreOutcome) pending.set(seq, settle)
    underWay++
    sentAt = monotonicMs()
    const calls = `[${batch.map(({ text }) => text).join(',')}]`
    const res = await send({ session: sentIn, calls })
    if (sentIn !== session) return
    underWay--
    if (res.isOk()) receive(res.value)
    else lose(describeError(res.error))
    pump()
  }

  function receive(res: ForwardResponse): void {
    const isFirst = life === undefined
    const answers = answersSchema.safeParse(parseJson(res.answers))
    if (!answers.success) return lose('the answer has the wrong shape')
    if (!isFirst && life !== res.life && pending.size > 0)
      return lose('the calls so far were forgotten')
    life = res.life
    busyShare = res.busyShare
    heardAt = monotonicMs()
    for (const answer of answers.data) {
      const settle = pending.get(answer.seq)
      pending.delete(answer.seq)
      settle?.(answer)
    }
  }

  /** Sends what waits, or asks for answers that are due. */
  function pump(): void {
    if (timer || underWay >= MAX_MESSAGES_UNDER_WAY) return
    dropExpired()
    const asksForAnswers = underWay === 0 && pending.size > 0
    if (waiting.length === 0 && !asksForAnswers) return
    const waitMs = sentAt + messageIntervalMs(ownShare()) - monotonicMs()
    if (waitMs <= 0)
      return void exchange(
        takeFitting(waiting, ({ text }) => text.length, MESSAGE_LIMITS),
      )
    timer = setTimeout(() => {
      timer = undefined
      pump()
    }, waitMs)
  }

  function enqueue(call: NewCall, settle: Waiting['settle']): void {
    const seq = nextSeq++
    const text = JSON.stringify({ ...call, seq })
    waiting.push({ seq, text, settle, queuedAt: monotonicMs() })
    // Calls of one turn of the event loop share a message.
    if (waiting.length === 1) setImmediate(pump)
  }

  async function call(each: NewCall): Promise<CallOutcome> {
    const calledAt = monotonicMs()
    const outcome = await new Promise<CallOutcome>((resolve) => enqueue(each, resolve))
    // A poll takes as long as its target waits.
    if (each.kind !== 'sync' && typeof outcome !== 'string')
      noteOrder(monotonicMs() - calledAt)
    return outcome
  }

  return {
    address,
    isUsable,
    isFit: () =>
      isUsable() && isHeardWithin(MESSAGE_TIMEOUT_MS) && busyShare < MAX_FORWARDER_SHARE,
    busyShare: () => (isHeardWithin(HEARD_MS) ? busyShare : 0),
    orderMs() {
      const isKnown = orders >= MIN_ORDERS && monotonicMs() - orderedAt < HEARD_MS
      return isKnown ? meanOrderMs : undefined
    },
    leaveAlone() {
      lostUntil = monotonicMs() + LOST_PAUSE_MS
      orders = 0
    },
    probe() {
      if (isUsable() && !isHeardWithin(PROBE_INTERVAL_MS) && underWay === 0)
        void exchange([])
    },
    call,
    tell: (each) => enqueue(each, ignoreOutcome),
  }
}
