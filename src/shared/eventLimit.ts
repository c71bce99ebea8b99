/** Bounds the number of log lines of each kind; what is left out is counted and told. */
import { monotonicMs } from './utils.js'

/** Lines of one kind a second, on average: ten times a busy owner's start orders. */
const LINES_PER_SECOND = 300
/** Lines of one kind at once. */
const BURST = 600

/** Bound on lines by kind. */
export interface EventLimit {
  /** Whether a line of the kind may be written; `leftOut` are those before it that were not. */
  take(name: string): { allowed: boolean; leftOut: number }
}

/** Lines of one kind that may be written now. */
interface Bucket {
  tokens: number
  filledAt: number
  leftOut: number
}

/** Creates a bound with all kinds at their full burst. */
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
