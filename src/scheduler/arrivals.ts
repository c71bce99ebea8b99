/**
 * Estimates the arrival rate of the work of one queue over several windows, so that a sudden
 * rise is seen at once.
 */

/** Longest window, in ms. */
const MAX_WINDOW_MS = 3000
/** Largest window, in arrivals: enough for a rate within a quarter of the true one. */
const MAX_ARRIVALS = 16
/** Arrivals after the first that a window needs for a rate. */
const MIN_ARRIVALS = 2
/**
 * Number of standard deviations taken off the count of each window. The highest rate of all
 * windows is used, which is biased upwards by chance; this cancels the bias.
 */
const DISCOUNT_DEVIATIONS = 0.8
/**
 * Expected number of jobs, in the time since the last one, that bounds the rate. At that rate,
 * such a gap has a probability of 0.14. Without the bound a slow queue seemed to go on for 3 s
 * after its last job.
 */
const MAX_GAP_JOBS = 2
/** Shortest span of a window, in ms: jobs of one caller may arrive within a millisecond. */
const MIN_SPAN_MS = 30
/** Weight of the newest job in the mean work of a job, once 20 jobs have been averaged evenly. */
const MEAN_WEIGHT = 0.05

/** Measures the work that arrives in one queue. */
export interface ArrivalMeter {
  /**
   * Adds a job. Calls need not be in order of time, as a new owner reads jobs in any order.
   * @param work thousandths of a core times ms
   * @param now time of the arrival, in ms
   */
  note(work: number, now: number): void
  /** Processor capacity that the work takes at its current rate, in thousandths of a core. */
  expectedCpu(now: number): number
}

/** Creates a meter without any arrivals. */
export function createArrivalMeter(): ArrivalMeter {
  let arrivalTimes: number[] = []
  let meanWork = 0
  let jobCount = 0

  /** Highest rate of all windows that end now and begin with an arrival, in jobs per ms. */
  function jobsPerMs(now: number): number {
    let highest = 0
    for (let count = MIN_ARRIVALS; count < arrivalTimes.length; count++) {
      const spanMs = now - arrivalTimes[arrivalTimes.length - 1 - count]!
      if (spanMs > MAX_WINDOW_MS) break
      const discountedCount = count - DISCOUNT_DEVIATIONS * Math.sqrt(count)
      highest = Math.max(highest, discountedCount / Math.max(MIN_SPAN_MS, spanMs))
    }
    const gapMs = now - (arrivalTimes.at(-1) ?? now)
    return gapMs > 0 ? Math.min(highest, MAX_GAP_JOBS / gapMs) : highest
  }

  return {
    note(work, now) {
      arrivalTimes = [...arrivalTimes, now].sort((a, b) => a - b).slice(-MAX_ARRIVALS - 1)
      jobCount++
      meanWork += (work - meanWork) * Math.max(MEAN_WEIGHT, 1 / jobCount)
    },
    expectedCpu: (now) => jobsPerMs(now) * meanWork,
  }
}
