/**
 * Notices that the store cannot be used: it is silent, with calls under way and nothing
 * answered, or it breaks connections. No calls are sent until a probe is answered; those
 * under way at a silent store are given up at once.
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
  PROBE,
  STORE_PLACE,
  failedAnswer,
  isAnswered,
  makeStoreCall,
} from './storeCall.js'
import type { StoreAnswer } from './storeCall.js'

/** A store behind a circuit breaker. */
export interface CircuitBreaker {
  /** Makes a call; `waitMs` is the time that the store may take on purpose. */
  run(call: () => Promise<StoreAnswer>, waitMs?: number): Promise<StoreAnswer>
  /** Bytes came from the store: it is not silent, however long its answer takes. */
  noteBytes(): void
  stop(): void
}

/** A call that is under way. */
interface Pending {
  fail(reason: string): void
}

/** Whether the call was lost, perhaps with its connection. */
const isBroken = (answer: StoreAnswer): boolean =>
  answer.isErr() && answer.error.failure === 'unknown'

/** Why no calls are let through. */
const SILENT = 'the store is silent'
const BROKEN = 'a connection to the store broke'

/** Creates a breaker that lets calls through. */
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
  const pending = new Set<Pending>()
  let answeredAt = -Infinity
  /** When something last came from the store, be it a part of an answer. */
  let heardAt = -Infinity
  /** Since when no calls are let through; undefined while they are. */
  let openSince: number | undefined
  let openReason = ''
  /** Calls that wait for the first probes after a connection broke. */
  const resumeWaiting = new Set<() => void>()

  const failPending = (reason: string): void => {
    for (const each of [...pending]) each.fail(reason)
  }

  /** Lets calls through again. */
  function close(): void {
    if (openSince === undefined) return
    const openMs = Math.round(monotonicMs() - openSince)
    log.event('storeAnswers', { openMs, reason: openReason })
    openSince = undefined
    // What was sent while the store was silent will not be answered any more.
    if (openReason === SILENT) failPending('sent while the store was silent')
    for (const proceed of [...resumeWaiting]) proceed()
  }

  /** Lets no calls through until a probe is answered. */
  function open(reason: string): void {
    if (openSince !== undefined) return
    openSince = monotonicMs()
    openReason = reason
    log.event('storeSilent', { pending: pending.size, reason })
    if (reason === SILENT) failPending('the store is silent')
    void probe()
  }

  /** Waits for the first probes after a connection broke; a silent store is not waited for. */
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
    answeredAt = monotonicMs()
    heardAt = answeredAt
    // An answer to a call from before the silence may have been under way for long.
    if (openSince !== undefined && sentAt >= openSince) close()
  }

  /** Sends small reads until one is answered; each has a connection of its own. */
  async function probe(): Promise<void> {
    while (openSince !== undefined && !stopping.signal.aborted) {
      const sentAt = monotonicMs()
      void makeStoreCall(store, PROBE, 0).then((answer) => {
        if (isAnswered(answer)) noteAnswer(sentAt)
      })
      await sleep(jittered(probeMs), stopping.signal)
    }
  }

  /** Makes the call; it is answered by the store, or given up when that is silent. */
  function send(call: () => Promise<StoreAnswer>, waitMs: number): Promise<StoreAnswer> {
    return new Promise((resolve) => {
      const sentAt = monotonicMs()
      const silence = watchSilence(silentMs + waitMs, () => {
        if (heardAt < sentAt) open(SILENT)
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
        // Another connection may have shown meanwhile that the store can be used.
        else if (isBroken(answer) && answeredAt < sentAt) open(BROKEN)
        finish(answer)
      })
    })
  }

  return {
    async run(call, waitMs = 0) {
      if (openSince !== undefined) await untilClosed()
      if (openSince === undefined) return send(call, waitMs)
      return failedAnswer('unreachable', `not sent: ${openReason}`, STORE_PLACE)
    },
    noteBytes: () => void (heardAt = monotonicMs()),
    stop: () => stopping.abort(),
  }
}
