/** Throttles and coalesces calls that are requested often. */
import { monotonicMs } from '../shared/index.js'

/**
 * Returns a function that requests a call. The call is made at the end of this turn of the event
 * loop or, if the last one was less than `gapMs` ago, after `gapMs`. All requests until then share
 * one call.
 */
export function createThrottled(call: () => void, gapMs: number): () => void {
  let isScheduled = false
  let calledAt = -Infinity

  const callOnce = (): void => {
    isScheduled = false
    calledAt = monotonicMs()
    call()
  }

  return () => {
    if (isScheduled) return
    isScheduled = true
    if (monotonicMs() - calledAt >= gapMs) setImmediate(callOnce)
    else setTimeout(callOnce, gapMs)
  }
}
