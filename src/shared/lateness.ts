/**
 * Logs how late the event loop of this process runs. A saturated processor delays everything
 * by about the same time: timers, received messages and the answers that others wait for.
 */
import type { Logger } from './logger.js'
import { monotonicMs } from './utils.js'

/** Time between two checks, in ms; four wake-ups a second have no measurable cost. */
const CHECK_INTERVAL_MS = 250
/** Shortest delay that is logged, in ms: half of the 400 ms after which others abandon a call. */
const REPORT_THRESHOLD_MS = 200
/** Shortest time between two log lines about delays, in ms. */
const MIN_REPORT_INTERVAL_MS = 1000

/** Watches the delay of this process until it is stopped. */
export interface ProcessDelayWatch {
  stop(): void
}

/** Starts the watch, which logs long delays. */
export function watchProcessDelay(log: Logger): ProcessDelayWatch {
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
