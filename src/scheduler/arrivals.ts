/** Rate at which work arrives, and where it is heading. */

/** Shortest and longest window of the average, in ms. */
const MIN_WINDOW_MS = 1000
const MAX_WINDOW_MS = 3000
/** Arrivals that make an average steady enough; the window grows until it holds them. */
const ENOUGH_ARRIVALS = 12
/**
 * Share of the growth between two windows that is added: capacity comes about two
 * seconds after it is asked for, and half of any growth is chance.
 */
const TREND = 0.7

/** Work that arrived at a moment. */
interface Arrival {
  at: number
  /** Thousandths of a core times ms. */
  work: number
}

export interface ArrivalMeter {
  note(work: number, now: number): void
  /** Processor room, in thousandths of a core, that the work takes if it goes on so. */
  expectedCpu(now: number): number
}

export function createArrivalMeter(): ArrivalMeter {
  let arrivals: Arrival[] = []

  /** Work per ms between two ages. */
  const rate = (now: number, youngest: number, oldest: number): number => {
    const counted = arrivals.filter(({ at }) => now - at >= youngest && now - at < oldest)
    return counted.reduce((sum, { work }) => sum + work, 0) / (oldest - youngest)
  }

  return {
    note: (work, now) => void arrivals.push({ at: now, work }),
    expectedCpu(now) {
      arrivals = arrivals.filter(({ at }) => now - at < 2 * MAX_WINDOW_MS)
      const enough = arrivals.at(-ENOUGH_ARRIVALS)
      const span = enough ? now - enough.at : MAX_WINDOW_MS
      const windowMs = Math.min(MAX_WINDOW_MS, Math.max(MIN_WINDOW_MS, span))
      const recent = rate(now, 0, windowMs)
      const before = rate(now, windowMs, 2 * windowMs)
      return recent + Math.max(0, recent - before) * TREND
    },
  }
}
