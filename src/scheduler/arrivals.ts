/** Rate at which the work of one queue arrives, seen as soon as it jumps. */

/** Longest window, in ms. */
const MAX_WINDOW_MS = 3000
/** Arrivals that are looked at: enough for a rate within a quarter of the true one. */
const MAX_ARRIVALS = 16
/** Arrivals after the first of a window without which nothing is said of a rate. */
const MIN_ARRIVALS = 2
/**
 * Standard deviations of chance that are taken off each window's count. The highest of
 * the windows' rates is taken, and this much cancels what is chance in the highest.
 */
const DISCOUNT_DEVIATIONS = 0.8
/**
 * Highest rate that silence allows, in jobs over its length: at this rate it has a chance
 * of 0.14. Without it a slow queue seemed to go on for 3 s after its last job.
 */
const MAX_SILENCE_JOBS = 2
/** Shortest span of a window, in ms: jobs of one caller may come within a millisecond. */
const MIN_SPAN_MS = 30
/** Weight of one more job in the mean work of a job, once that many were seen. */
const MEAN_WEIGHT = 0.05

/** Follows the jobs of one queue. */
export interface ArrivalMeter {
  /**
   * Notes a job. A new owner reads of jobs in any order.
   * @param work thousandths of a core times ms
   */
  note(work: number, now: number): void
  /** Processor room, in thousandths of a core, that the work takes if it goes on so. */
  expectedCpu(now: number): number
}

/** Creates a meter that has seen nothing. */
export function createArrivalMeter(): ArrivalMeter {
  let times: number[] = []
  let meanWork = 0
  let jobCount = 0

  /** Highest rate of the windows that end now and begin with an arrival, in jobs per ms. */
  function jobsPerMs(now: number): number {
    let highest = 0
    for (let count = MIN_ARRIVALS; count < times.length; count++) {
      const spanMs = now - times[times.length - 1 - count]!
      if (spanMs > MAX_WINDOW_MS) break
      const discountedCount = count - DISCOUNT_DEVIATIONS * Math.sqrt(count)
      highest = Math.max(highest, discountedCount / Math.max(MIN_SPAN_MS, spanMs))
    }
    const silentMs = now - (times.at(-1) ?? now)
    return silentMs > 0 ? Math.min(highest, MAX_SILENCE_JOBS / silentMs) : highest
  }

  return {
    note(work, now) {
      times = [...times, now].sort((a, b) => a - b).slice(-MAX_ARRIVALS - 1)
      jobCount++
      meanWork += (work - meanWork) * Math.max(MEAN_WEIGHT, 1 / jobCount)
    },
    expectedCpu: (now) => jobsPerMs(now) * meanWork,
  }
}
