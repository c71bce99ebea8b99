/**
 * Notices that the store is silent: calls are under way and nothing is answered. Calls to
 * a silent store are given up at once and not sent any more, until a probe is answered.
 */
import type { RowStore } from '../ports/index.js'
import { createStopController, jittered, monotonicMs, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { PROBE_MS, SILENT_MS } from './constants.js'
import { PROBE, failedAnswer, makeStoreCall } from './storeCall.js'
import type { StoreAnswer } from './storeCall.js'

/** A store behind a circuit breaker. */
export interface CircuitBreaker {
  /** Makes a call; `waitMs` is the time that the store may take on purpose. */
  run(call: () => Promise<StoreAnswer>, waitMs?: number): Promise<StoreAnswer>
  stop(): void
}

/** A call that is under way. */
interface Pending {
  giveUp(reason: string): void
}

/** Where calls that are given up or not sent have failed. */
const STORE_PLACE = { step: 'store', peer: 'store' }

/** Whether the store itself has answered, be it to refuse. */
const isAnswered = (answer: StoreAnswer): boolean =>
  answer.isOk() ||
  answer.error.failure === 'refused' ||
  answer.error.failure === 'compacted'

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
  /** Since when the store has been silent; undefined while calls are let through. */
  let openSince: number | undefined

  const giveUpPending = (reason: string): void => {
    for (const each of [...pending]) each.giveUp(reason)
  }

  /** Lets calls through again. */
  function close(): void {
    if (openSince === undefined) return
    log.event('storeAnswers', { silentMs: Math.round(monotonicMs() - openSince) })
    openSince = undefined
    // What was sent while the store was silent will not be answered any more.
    giveUpPending('sent while the store was silent')
  }

  /** Gives up what is under way, and lets no calls through until a probe is answered. */
  function open(): void {
    if (openSince !== undefined) return
    openSince = monotonicMs()
    log.event('storeSilent', { pending: pending.size, afterMs: silentMs })
    giveUpPending('the store is silent')
    void probe()
  }

  const noteAnswer = (sentAt: number): void => {
    answeredAt = monotonicMs()
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
      const timer = setTimeout(() => {
        if (answeredAt < sentAt) open()
      }, silentMs + waitMs)
      const finish = (answer: StoreAnswer): void => {
        clearTimeout(timer)
        pending.delete(each)
        resolve(answer)
      }
      const each: Pending = {
        giveUp: (reason) => finish(failedAnswer('unknown', reason, STORE_PLACE)),
      }
      pending.add(each)
      void call().then((answer) => {
        if (isAnswered(answer)) noteAnswer(sentAt)
        finish(answer)
      })
    })
  }

  return {
    run(call, waitMs = 0) {
      if (openSince !== undefined) {
        const reason = 'not sent: the store is silent'
        return Promise.resolve(failedAnswer('unreachable', reason, STORE_PLACE))
      }
      return send(call, waitMs)
    },
    stop: () => stopping.abort(),
  }
}
