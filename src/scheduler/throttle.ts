/** Throttles and coalesces calls that are requested often. */
import { monotonicMs } from '../shared/index.js'

/** Limits of a throttled call. */
export interface ThrottleOptions {
  /** Shortest time between two calls, in ms. */
  gapMs: number
  /** Largest share of time that the calls may take, so that long ones are made less often. */
  maxShare: number
}

/** Weight of the newest call in the mean time of a call. */
const NEWEST_CALL_WEIGHT = 0.2

/**
 * Returns a function that requests a call. The call is made at the end of this turn of the event
 * loop or, if the last one was too recent, once the limits allow it. All requests until then share
 * one call.
 */
export function createThrottled(
  call: () => void,
  { gapMs, maxShare }: ThrottleOptions,
): () => void {
  let isScheduled = false
  /** Monotonic time from which the next call may be made, in ms. */
  let nextAt = -Infinity
  /** Moving average of the time of a call, in ms: the host may suspend the process during a call. */
  let meanMs: number | undefined

  const callOnce = (): void => {
    isScheduled = false
    const calledAt = monotonicMs()
    call()
    const tookMs = monotonicMs() - calledAt
    meanMs ??= tookMs
    meanMs += (tookMs - meanMs) * NEWEST_CALL_WEIGHT
    nextAt = calledAt + Math.max(gapMs, tookMs, Math.min(tookMs, meanMs) / maxShare)
  }

  return () => {
    if (isScheduled) return
    isScheduled = true
    const waitMs = nextAt - monotonicMs()
    if (waitMs <= 0) setImmediate(callOnce)
    else setTimeout(callOnce, waitMs)
  }
}
