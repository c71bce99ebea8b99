/**
 * Circuit breaker for the parts of the store. A part is down once a call to it was lost and none was
 * answered since. Calls to it are held back for a short time, in which it is probed, and are not sent
 * after that; the other parts are not affected.
 */
import { jittered, monotonicMs, watchSilence } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { BROKEN_WAIT_MS, PROBE_MS } from './constants.js'

/** The parts of one store, as one node sees them. */
export interface PartBreaker {
  /** Resolves to whether calls to the part may be sent; waits for a probe if it is down. */
  admit(part: string): Promise<boolean>
  /**
   * Records that a call to the part was answered.
   * @param sentAt monotonic time at which it was sent, in ms
   */
  noteAnswer(part: string, sentAt: number): void
  /**
   * Records that a call to the part was lost, possibly with its connection.
   * @param sentAt monotonic time at which it was sent, in ms
   */
  noteLost(part: string, sentAt: number): void
}

/** A part that is down. */
interface DownPart {
  /** Monotonic time at which a call to it was lost, in ms. */
  since: number
  /** Monotonic time from which the next call causes a probe, in ms. */
  nextProbeAt: number
  /** Latest probe; resolves once it is answered or lost, or has taken too long. */
  probing: Promise<void>
}

/** Creates breakers that let all calls through. */
export function createPartBreaker(opts: {
  /** Makes a small read of the part; resolves to whether it was answered. */
  probe(part: string): Promise<boolean>
  log: Logger
  probeMs?: number
}): PartBreaker {
  const { log, probeMs = PROBE_MS } = opts
  const down = new Map<string, DownPart>()
  /** Monotonic time of the last answer, in ms, by part. */
  const answeredAt = new Map<string, number>()

  function noteAnswer(part: string, sentAt: number): void {
    const now = monotonicMs()
    answeredAt.set(part, now)
    const state = down.get(part)
    // An answer to a call sent before the part was lost does not show that it works now.
    if (!state || sentAt < state.since) return
    down.delete(part)
    log.event('storePartAnswers', { part, downMs: Math.round(now - state.since) })
  }

  async function probe(part: string): Promise<void> {
    const sentAt = monotonicMs()
    if (await opts.probe(part)) noteAnswer(part, sentAt)
  }

  /** Resolves once the probe is answered or lost, or `BROKEN_WAIT_MS` after it was sent. */
  function withLimit(probing: Promise<void>): Promise<void> {
    return new Promise((resolve) => {
      const limit = watchSilence(BROKEN_WAIT_MS, resolve)
      void probing.then(() => {
        limit.stop()
        resolve()
      })
    })
  }

  return {
    async admit(part) {
      const state = down.get(part)
      if (!state) return true
      const now = monotonicMs()
      // An earlier probe may still wait for an answer that will not come.
      if (now >= state.nextProbeAt) {
        state.nextProbeAt = now + jittered(probeMs)
        state.probing = withLimit(probe(part))
      }
      await state.probing
      return !down.has(part)
    },
    noteAnswer,
    noteLost(part, sentAt) {
      if (down.has(part) || (answeredAt.get(part) ?? -Infinity) >= sentAt) return
      const now = monotonicMs()
      down.set(part, { since: now, nextProbeAt: now, probing: Promise.resolve() })
      log.event('storePartDown', { part })
    },
  }
}
