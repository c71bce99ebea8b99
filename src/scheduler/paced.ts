/** Calls that are asked for often and made at most once in a while. */
import { monotonicMs } from '../shared/index.js'

/**
 * Creates a request for a call: it is made once this turn is over, or when `gapMs` have passed
 * since the last one, and once for all requests until then.
 */
export function createPaced(call: () => void, gapMs: number): () => void {
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
