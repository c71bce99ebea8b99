/**
 * Detects that another process is silent. Only time in which this process was able to read
 * counts: a slow processor or a long turn of its event loop delays reading, and is not the
 * fault of the other process. When such time counted, the store was treated as silent for
 * 0.3 s while it answered in 4 ms, the lease expired, and the next owners, on nodes as slow,
 * lost theirs in the same way.
 */
import { monotonicMs } from './utils.js'

/** Delay of a timer that shows that the process was not reading in the meantime, in ms. */
const LATE_TIMER_MS = 20
/** Longest wait, as a multiple of the requested one, so that every call ends. */
const MAX_WAIT_FACTOR = 3

/** A time-out that received data restarts, until it is stopped. */
export interface SilenceWatch {
  /** Restarts the time-out, because data was received. */
  heard(): void
  stop(): void
}

/**
 * Starts the time-out.
 * @param ms longest silence while this process is able to read
 * @param onSilent called once when nothing was received for this time
 */
export function watchSilence(ms: number, onSilent: () => void): SilenceWatch {
  let dueAt = monotonicMs() + ms
  let latestDueAt = monotonicMs() + ms * MAX_WAIT_FACTOR
  let timer: NodeJS.Timeout | undefined
  let stopped = false

  const arm = (): void => {
    timer = setTimeout(check, Math.max(1, dueAt - monotonicMs()))
  }

  function check(): void {
    const lateMs = monotonicMs() - dueAt
    if (lateMs < 0) return arm()
    // Data that has arrived is read between two rounds of timers.
    if (lateMs < LATE_TIMER_MS || dueAt >= latestDueAt)
      return void setImmediate(reportSilence)
    dueAt = Math.min(latestDueAt, monotonicMs() + Math.min(lateMs, ms))
    arm()
  }

  function reportSilence(): void {
    if (stopped) return
    if (dueAt > monotonicMs()) return arm()
    stopped = true
    onSilent()
  }

  arm()
  return {
    heard() {
      dueAt = monotonicMs() + ms
      latestDueAt = dueAt + ms * (MAX_WAIT_FACTOR - 1)
    },
    stop() {
      stopped = true
      clearTimeout(timer)
    },
  }
}
