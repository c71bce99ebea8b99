/**
 * Notices that the store is silent: calls are under way and nothing is answered. Calls to
 * a silent store are given up at once and not sent any more, until a probe is answered.
 */
import { err } from 'neverthrow'
import type { RowStore } from '../ports/index.js'
import {
  PlatformError,
  createStopController,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger, PlatformFailure } from '../shared/index.js'
import { PROBE_MS, SILENT_MS } from './constants.js'
import type { StoreAnswer } from './storeCall.js'

/** A store behind a circuit breaker. */
export interface CircuitBreaker {
  /** Whether the store is silent, so that no calls are sent. */
  isOpen(): boolean
  /** Makes a call; `waitMs` is the time that the store may take on purpose. */
  run(call: () => Promise<StoreAnswer>, waitMs?: number): Promise<StoreAnswer>
  stop(): void
}

/** A call that is under way. */
interface Pending {
  sentAt: number
  giveUp(reason: string): void
}

const failed = (failure: PlatformFailure, reason: string): StoreAnswer =>
  err(new PlatformError(reason, { props: { step: 'store', peer: 'store', failure } }))

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
  let openSince: number | undefined

  function close(): void {
    if (openSince === undefined) return
    log.event('storeAnswers', { silentMs: Math.round(monotonicMs() - openSince) })
    openSince = undefined
    // What was sent while the store was silent will not be answered any more.
    for (const each of [...pending]) each.giveUp('sent while the store was silent')
  }

  function open(): void {
    if (openSince !== undefined) return
    openSince = monotonicMs()
    log.event('storeSilent', { pending: pending.size, afterMs: silentMs })
    for (const each of [...pending]) each.giveUp('the store is silent')
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
      void store.read('probe', '').then((answer) => {
        if (isAnswered(answer)) noteAnswer(sentAt)
      })
      await sleep(jittered(probeMs), stopping.signal)
    }
  }

  return {
    isOpen: () => openSince !== undefined,
    run(call, waitMs = 0) {
      if (openSince !== undefined) {
        return Promise.resolve(failed('unreachable', 'not sent: the store is silent'))
      }
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
          sentAt,
          giveUp: (reason) => finish(failed('unknown', reason)),
        }
        pending.add(each)
        void call().then((answer) => {
          if (isAnswered(answer)) noteAnswer(sentAt)
          finish(answer)
        })
      })
    },
    stop: () => stopping.abort(),
  }
}
