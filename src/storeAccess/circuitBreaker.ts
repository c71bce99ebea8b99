/**
 * Circuit breaker for the store as a whole. It opens if the store is silent, which means that it
 * answers none of the calls in flight, or if connections to it break, whichever part they are for.
 * While it is open only probes are sent, and an answered probe closes it. If the store is silent,
 * calls in flight fail at once.
 */
import type { RowStore } from '../ports/index.js'
import {
  createStopController,
  jittered,
  monotonicMs,
  sleep,
  watchSilence,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { BROKEN_WAIT_MS, PROBE_MS, SILENT_MS } from './constants.js'
import {
  STORE_PLACE,
  createProbes,
  failedAnswer,
  isAnswered,
  makeStoreCall,
} from './storeCall.js'
import type { StoreAnswer } from './storeCall.js'

/** A store behind a circuit breaker. */
export interface CircuitBreaker {
  /**
   * Makes a call.
   * @param waitMs time for which the store may delay its answer on request
   * @param part part that the call is for; undefined if it concerns all parts
   */
  run(
    call: () => Promise<StoreAnswer>,
    waitMs?: number,
    part?: string,
  ): Promise<StoreAnswer>
  isOpen(): boolean
  /** Records that bytes arrived: the store is not silent, however long its whole answer takes. */
  noteBytes(): void
  stop(): void
}

/** A call in flight. */
interface Pending {
  fail(reason: string): void
}

/** Whether the call was lost, possibly with its connection. */
export const isBroken = (answer: StoreAnswer): boolean =>
  answer.isErr() && answer.error.failure === 'unknown'

/** Reasons for an open breaker. */
const SILENT = 'the store is silent'
const BROKEN = 'a connection to the store broke'

/** Creates a closed breaker, which lets calls through. */
export function createCircuitBreaker(opts: {
  store: RowStore
  log: Logger
  silentMs?: number
  probeMs?: number
}): CircuitBreaker {
  const { store, log } = opts
  const silentMs = opts.silentMs ?? SILENT_MS
  const probeMs = opts.probeMs ?? PROBE_MS
  const stopping = createStopController()
  const nextProbe = createProbes()
  const pending = new Set<Pending>()
  let lastAnswerAt = -Infinity
  /** Time at which bytes last arrived from the store, including parts of an answer. */
  let lastBytesAt = -Infinity
  /** Time at which the breaker opened; undefined while it is closed. */
  let openSince: number | undefined
  let openReason = ''
  /** Part whose call was lost last, and when; the time is -Infinity before the first one. */
  let lastLoss: { part: string | undefined; at: number } = {
    part: undefined,
    at: -Infinity,
  }
  /** Resumes the calls that wait for the first probes after a connection broke. */
  const resumeWaiting = new Set<() => void>()

  const failPending = (reason: string): void => {
    for (const each of [...pending]) each.fail(reason)
  }

  /** Closes the breaker: calls are let through again. */
  function close(): void {
    if (openSince === undefined) return
    const openMs = Math.round(monotonicMs() - openSince)
    log.event('storeAnswers', { openMs, reason: openReason })
    openSince = undefined
    // Calls that were sent while the store was silent will not be answered.
    if (openReason === SILENT) failPending('sent while the store was silent')
    for (const proceed of [...resumeWaiting]) proceed()
  }

  /** Opens the breaker until a probe is answered. */
  function open(reason: string): void {
    if (openSince !== undefined) return
    openSince = monotonicMs()
    openReason = reason
    log.event('storeSilent', { pending: pending.size, reason })
    if (reason === SILENT) failPending('the store is silent')
    void probe()
  }

  /** Waits for the first probes after a connection broke; does not wait if the store is silent. */
  function untilClosed(): Promise<void> {
    const waitMs =
      openReason === SILENT ? 0 : (openSince ?? 0) + BROKEN_WAIT_MS - monotonicMs()
    if (waitMs <= 0) return Promise.resolve()
    return new Promise((resolve) => {
      const proceed = (): void => {
        clearTimeout(timer)
        resumeWaiting.delete(proceed)
        resolve()
      }
      const timer = setTimeout(proceed, waitMs)
      resumeWaiting.add(proceed)
    })
  }

  const noteAnswer = (sentAt: number): void => {
    lastAnswerAt = monotonicMs()
    lastBytesAt = lastAnswerAt
    // An answer to a call sent before the breaker opened does not show that the store works now.
    if (openSince !== undefined && sentAt >= openSince) close()
  }

  /**
   * Opens the breaker if a lost call shows that the store as a whole breaks connections: no call was
   * answered since it was sent, nor since another part was lost.
   */
  function noteLost(sentAt: number, part: string | undefined): void {
    const isOtherLost = lastLoss.part !== part && lastLoss.at > lastAnswerAt
    const concernsAll = part === undefined || isOtherLost
    lastLoss = { part, at: monotonicMs() }
    if (concernsAll && lastAnswerAt < sentAt) open(BROKEN)
  }

  /** Sends small reads until one is answered, each on its own connection. */
  async function probe(): Promise<void> {
    while (openSince !== undefined && !stopping.signal.aborted) {
      const sentAt = monotonicMs()
      void makeStoreCall(store, nextProbe(), 0).then((answer) => {
        if (isAnswered(answer)) noteAnswer(sentAt)
      })
      await sleep(jittered(probeMs), stopping.signal)
    }
  }

  /** Sends the call; resolves with the store's answer, or with a failure if the store is silent. */
  function send(
    call: () => Promise<StoreAnswer>,
    waitMs: number,
    part: string | undefined,
  ): Promise<StoreAnswer> {
    return new Promise((resolve) => {
      const sentAt = monotonicMs()
      const silence = watchSilence(silentMs + waitMs, () => {
        if (lastBytesAt < sentAt) open(SILENT)
      })
      const finish = (answer: StoreAnswer): void => {
        silence.stop()
        pending.delete(each)
        resolve(answer)
      }
      const each: Pending = {
        fail: (reason) => finish(failedAnswer('unknown', reason, STORE_PLACE)),
      }
      pending.add(each)
      void call().then((answer) => {
        if (isAnswered(answer)) noteAnswer(sentAt)
        else if (isBroken(answer)) noteLost(sentAt, part)
        finish(answer)
      })
    })
  }

  return {
    async run(call, waitMs = 0, part = undefined) {
      if (openSince !== undefined) await untilClosed()
      if (openSince === undefined) return send(call, waitMs, part)
      return failedAnswer('unreachable', `not sent: ${openReason}`, STORE_PLACE)
    },
    isOpen: () => openSince !== undefined,
    noteBytes: () => void (lastBytesAt = monotonicMs()),
    stop: () => stopping.abort(),
  }
}
