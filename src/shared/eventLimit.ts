/** Limits the rate of log lines of each kind; left-out lines are counted and reported. */
import { monotonicMs } from './utils.js'

/** Lines of one kind per second, on average: ten times the start orders of a busy owner. */
const LINES_PER_SECOND = 300
/** Size of a token bucket: lines of one kind that may be written at once. */
const BURST = 600

/** Rate limit of log lines by kind. */
export interface EventLimit {
  /** Whether a line may be written; `leftOut` counts those that were left out before it. */
  take(name: string): { allowed: boolean; leftOut: number }
}

/** Token bucket of one kind of line. */
interface Bucket {
  tokens: number
  filledAt: number
  leftOut: number
}

/** Creates a limit with full token buckets. */
export function createEventLimit(now: () => number = monotonicMs): EventLimit {
  const buckets = new Map<string, Bucket>()
  return {
    take(name) {
      const at = now()
      const bucket = buckets.get(name) ?? { tokens: BURST, filledAt: at, leftOut: 0 }
      buckets.set(name, bucket)
      const refill = ((at - bucket.filledAt) / 1000) * LINES_PER_SECOND
      bucket.tokens = Math.min(BURST, bucket.tokens + refill)
      bucket.filledAt = at
      if (bucket.tokens < 1) {
        bucket.leftOut++
        return { allowed: false, leftOut: 0 }
      }
      bucket.tokens--
      const { leftOut } = bucket
      bucket.leftOut = 0
      return { allowed: true, leftOut }
    },
  }
}
