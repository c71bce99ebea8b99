/**
 * Calls targets on behalf of owners on other nodes. It decides nothing and repeats nothing: each
 * call is sent once, at once, with the token and the lease that its owner gave it, and a target
 * refuses one that arrives after a newer token.
 */
import { nanoid } from 'nanoid'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { OrderError, OrderResult, TargetLink, TargetOrders } from '../ports/index.js'
import {
  PeerError,
  callError,
  monotonicMs,
  parseJson,
  sleep,
  takeFitting,
} from '../shared/index.js'
import {
  BATCH_MS,
  HOLD_MS,
  IDLE_CHECK_MS,
  IDLE_MS,
  MAX_TEXT_PER_MESSAGE,
} from './constants.js'
import { callsSchema, encodeResult } from './messages.js'
import type { CallKind, CalledTarget, ForwardedCall } from './messages.js'

/** Place of failure of a message that cannot be read. */
const PLACE = { step: 'orders.forward' }
/** Length of the id of a session, in characters. */
const LIFE_LENGTH = 10

/** Answer to one message of an owner. */
export interface ForwardReply {
  /** Differs whenever the calls of the session so far have been forgotten. */
  life: string
  /** Answers to calls of the session, encoded as JSON. */
  answers: string
}

/** Calls targets for other nodes until it is stopped. */
export interface ForwardServer {
  /**
   * Makes the calls of a message. Resolves with the answers to calls of the session that have come
   * in, or after a while without any; a later message of the session ends the wait.
   */
  handle(session: string, calls: string): Promise<ForwardReply>
  stop(): void
}

/** Connections to one target. */
interface HeldLink {
  link: TargetLink
  /** Resolves once all orders so far are answered or have failed. */
  ordersSent: Promise<unknown>
  /** Monotonic time at which an order was last given up without an answer, in ms. */
  unansweredAt: number
  underWay: number
  usedAt: number
}

/** What is kept for one owner. */
interface Session {
  life: string
  links: Map<string, HeldLink>
  /** Calls without an answer so far. */
  underWay: number
  /** Encoded answers that have not been sent back. */
  answers: string[]
  messagedAt: number
  /** Continues the message that is held, as an answer has come in; undefined if none is. */
  arrived: (() => void) | undefined
  /** Ends the wait of that message. */
  release: (() => void) | undefined
}

const linkKeyOf = ({ id, address }: CalledTarget): string => `${id} ${address}`

/** A call that has an answer. */
type AnsweredCall = Extract<ForwardedCall, { kind: CallKind }>

const SENDERS: {
  [K in CallKind]: (
    link: TargetLink,
    call: Extract<ForwardedCall, { kind: K }>,
  ) => OrderResult<unknown>
} = {
  start: (link, { order, timeoutMs }) => link.start(order, timeoutMs),
  stop: (link, { order, timeoutMs }) => link.stop(order, timeoutMs),
  pace: (link, { order, timeoutMs }) => link.pace(order, timeoutMs),
  sync: (link, { order: { leaseUntilMs, ...order }, timeoutMs }) =>
    link.sync({ ...order, leaseUntilMs }, timeoutMs),
}

/** The result of an order that waited behind one without an answer; its owner repeats it. */
async function notSent({ kind, target }: AnsweredCall): OrderResult<never> {
  const reason = 'an earlier order went unanswered'
  const cause = callError(`orders.${kind}`, target.address, 'unreachable', reason)
  return err({ failure: 'notDone', reason, cause })
}

/** Creates a server without sessions. */
export function createForwardServer(orders: TargetOrders): ForwardServer {
  const sessions = new Map<string, Session>()

  function sessionOf(name: string): Session {
    const known = sessions.get(name)
    if (known) return known
    const created: Session = {
      life: nanoid(LIFE_LENGTH),
      links: new Map(),
      underWay: 0,
      answers: [],
      messagedAt: monotonicMs(),
      arrived: undefined,
      release: undefined,
    }
    sessions.set(name, created)
    return created
  }

  function linkTo(session: Session, target: CalledTarget): HeldLink {
    const key = linkKeyOf(target)
    const known = session.links.get(key)
    if (known) return known
    const opened: HeldLink = {
      link: orders.open(target),
      ordersSent: Promise.resolve(),
      unansweredAt: -Infinity,
      underWay: 0,
      usedAt: monotonicMs(),
    }
    session.links.set(key, opened)
    return opened
  }

  function closeLink({ links }: Session, key: string): void {
    links.get(key)?.link.close()
    links.delete(key)
  }

  /** Makes a call. Orders to a target are sent one after another, beside its poll. */
  async function send(
    held: HeldLink,
    call: AnsweredCall,
  ): Promise<Result<unknown, OrderError>> {
    const make = (): OrderResult<unknown> => SENDERS[call.kind](held.link, call as never)
    if (call.kind === 'sync') return make()
    const queuedAt = monotonicMs()
    const sent = held.ordersSent.then(() =>
      queuedAt < held.unansweredAt ? notSent(call) : make(),
    )
    held.ordersSent = sent.then((res) => {
      const isUnanswered = res.isErr() && res.error.failure === 'unanswered'
      if (isUnanswered) held.unansweredAt = monotonicMs()
    })
    return sent
  }

  async function execute(session: Session, call: ForwardedCall): Promise<void> {
    if (call.kind === 'close') return closeLink(session, linkKeyOf(call.target))
    const held = linkTo(session, call.target)
    held.underWay++
    session.underWay++
    const res = await send(held, call)
    held.underWay--
    session.underWay--
    held.usedAt = monotonicMs()
    session.answers.push(JSON.stringify(encodeResult(call.seq, res)))
    if (session.answers.length === 1) session.arrived?.()
  }

  /** Resolves once answers have come in, after a while without any, or when another message waits. */
  async function waitForAnswers(session: Session): Promise<void> {
    session.release?.()
    let isReplaced = false
    let timer: NodeJS.Timeout | undefined
    const endsAt = monotonicMs() + HOLD_MS
    for (;;) {
      // Another message may take the answers while they are being collected.
      if (session.answers.length > 0) await sleep(BATCH_MS)
      const leftMs = endsAt - monotonicMs()
      const isIdle = session.underWay === 0
      if (session.answers.length > 0 || isReplaced || isIdle || leftMs <= 0) return
      await new Promise<void>((resolve) => {
        timer = setTimeout(resolve, leftMs)
        session.arrived = resolve
        session.release = () => {
          isReplaced = true
          resolve()
        }
      })
      clearTimeout(timer)
    }
  }

  function forgetIdle(): void {
    const cutoff = monotonicMs() - IDLE_MS
    for (const [name, session] of sessions) {
      const isIdle = session.messagedAt < cutoff
      for (const [key, { underWay, usedAt }] of session.links)
        if (isIdle || (underWay === 0 && usedAt < cutoff)) closeLink(session, key)
      if (isIdle) sessions.delete(name)
    }
  }

  const timer = setInterval(forgetIdle, IDLE_CHECK_MS)

  return {
    async handle(name, text) {
      const session = sessionOf(name)
      session.messagedAt = monotonicMs()
      const calls = callsSchema.safeParse(parseJson(text))
      if (!calls.success)
        throw new PeerError('calls have the wrong shape', { props: PLACE })
      for (const call of calls.data) void execute(session, call)
      await waitForAnswers(session)
      session.messagedAt = monotonicMs()
      const answers = takeFitting(session.answers, (each) => each.length, {
        size: MAX_TEXT_PER_MESSAGE,
      })
      return { life: session.life, answers: `[${answers.join(',')}]` }
    },
    stop() {
      clearInterval(timer)
      for (const session of sessions.values()) {
        session.release?.()
        for (const key of [...session.links.keys()]) closeLink(session, key)
      }
      sessions.clear()
    },
  }
}
