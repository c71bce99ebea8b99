/**
 * Judges whether another process is silent. Only time in which this process could hear
 * counts: a processor that is slow or a long turn of our own delays what we read, and is
 * not the other's fault. Taken for it, the store was held silent for 0.3 s while it
 * answered in 4 ms, the lease ran out, and successors on nodes as slow did the same.
 */
import { monotonicMs } from './utils.js'

/** A timer that is this late shows that the process was not reading meanwhile, in ms. */
const LATE_TIMER_MS = 20
/** Longest wait, in times of the one that was asked for: every call ends. */
const MAX_WAIT_FACTOR = 3

/** Waits for a sign of life, until it is stopped. */
export interface SilenceWatch {
  /** Something was heard: the wait begins anew. */
  heard(): void
  stop(): void
}

/**
 * Starts waiting.
 * @param ms silence that is borne, while this process can hear
 * @param onSilent called once when nothing was heard for so long
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
    // What has arrived is read between two rounds of timers.
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
