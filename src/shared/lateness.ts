/**
 * How late this process runs. A processor that is full delays everything by about the same:
 * timers, what others send, and the answers that they wait for.
 */
import type { Logger } from './logger.js'
import { monotonicMs } from './utils.js'

/** Time between two looks, in ms: four wake-ups a second cost nothing that can be measured. */
const CHECK_INTERVAL_MS = 250
/** Delay that is told, in ms: others give a call up after 400 ms, of which it takes half. */
const REPORT_THRESHOLD_MS = 200
/** Longest delays are told so often at most, in ms. */
const MIN_REPORT_INTERVAL_MS = 1000

/** Looks at the delay of this process until it is stopped. */
export interface Lateness {
  stop(): void
}

/** Starts looking; long delays are logged. */
export function watchLateness(log: Logger): Lateness {
  let dueAt = monotonicMs() + CHECK_INTERVAL_MS
  let maxDelayMs = 0
  let reportedAt = -Infinity

  const check = (): void => {
    const now = monotonicMs()
    maxDelayMs = Math.max(maxDelayMs, now - dueAt)
    dueAt = now + CHECK_INTERVAL_MS
    if (maxDelayMs < REPORT_THRESHOLD_MS || now - reportedAt < MIN_REPORT_INTERVAL_MS)
      return
    log.event('processLate', { lateMs: Math.round(maxDelayMs) })
    reportedAt = now
    maxDelayMs = 0
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS)
  return { stop: () => clearInterval(timer) }
}
