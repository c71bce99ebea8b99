/**
 * How late this process runs. A processor that is full delays everything by about the same:
 * timers, what others send, and the answers that they wait for.
 */
import type { Logger } from './logger.js'
import { monotonicMs } from './utils.js'

/** Time between two looks, in ms: four wake-ups a second cost nothing that can be measured. */
const LOOK_MS = 250
/** Delay that is told, in ms: others give a call up after 400 ms, of which it takes half. */
const TOLD_MS = 200
/** Longest delays are told so often at most, in ms. */
const TELL_PACE_MS = 1000

/** Looks at the delay of this process until it is stopped. */
export interface Lateness {
  stop(): void
}

/** Starts looking; long delays are logged. */
export function watchLateness(log: Logger): Lateness {
  let dueAt = monotonicMs() + LOOK_MS
  let worstMs = 0
  let toldAt = -Infinity

  const look = (): void => {
    const now = monotonicMs()
    worstMs = Math.max(worstMs, now - dueAt)
    dueAt = now + LOOK_MS
    if (worstMs < TOLD_MS || now - toldAt < TELL_PACE_MS) return
    log.event('processLate', { lateMs: Math.round(worstMs) })
    toldAt = now
    worstMs = 0
  }

  const timer = setInterval(look, LOOK_MS)
  return { stop: () => clearInterval(timer) }
}
