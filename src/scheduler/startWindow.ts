/**
 * Limits the starts of an owner that are in flight: ordered and not answered. If the owner itself
 * is the bottleneck, for lack of processor time or bandwidth, tasks wait in the planner, which
 * sorts them by urgency, and not in queues of orders. The window follows additive increase and
 * multiplicative decrease after D.-M. Chiu and R. Jain, "Analysis of the increase and decrease
 * algorithms for congestion avoidance in computer networks", 1989; the congestion signal is the
 * delay, as in TCP Vegas. By Little's law, the starts that are answered within a delay are their rate
 * times that delay: a late owner's window shrinks to them at once, as the turn of a queue is short.
 *
 * A start also takes long if the owner's event loop is late for other reasons, or its links are slow. Fewer
 * starts in flight would not shorten that part, but lower the rate, so that it is left out as in TCP
 * Vegas: it is the least delay of recent periods.
 */
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

/** Size of the window before the owner's rate is known, in starts. */
const INITIAL_SIZE = 24
/** Limits of the window size, in starts. */
const MIN_SIZE = 4
const MAX_SIZE = 1024
/**
 * An answer that comes later after the order is late, in ms. Targets answer within a few ms, so that
 * the rest is the delay of the owner itself or of its link. It counts from the order, as an owner with
 * many targets has most of its delay in their queues: each call may be answered in time then.
 */
const LATE_AFTER_MS = 250
/** Shortest interval between two changes of the size, in ms. */
const UPDATE_PERIOD_MS = 250
/** Minimum number of answers for a change of the size. */
const MIN_ANSWERS = 4
/** Factor by which the window shrinks if most starts were answered late. */
const DECREASE_FACTOR = 0.75
/** Least growth while the owner is behind, in starts, and growth otherwise, as a factor. */
const BEHIND_INCREASE = 1
const INCREASE_FACTOR = 1.5
/**
 * Largest window as a multiple of the starts that are answered before they count as late. A window that
 * grows further while its starts are answered in time fills the queues of orders once that ends.
 */
const MAX_IN_TIME_FACTOR = 2
/** Share of late answers from which the owner is behind. One or two slow targets do not suffice. */
const MIN_LATE_SHARE = 0.75
/** Time for which the owner counts as behind once most starts were answered late, in ms. */
const BEHIND_MS = 2000
/** Time for which a measured delay counts as the least one, in ms, and the longest that is left out. */
const LEAST_DELAY_WINDOW_MS = 10_000
const MAX_LEAST_DELAY_MS = 750
/** Time for which a measured rate is kept, in ms: later ones are lower if targets have no room. */
const RATE_WINDOW_MS = 3000

/** The starts in flight of one owner. */
export interface StartWindow {
  /** Returns the number of starts that may be ordered now. */
  available(): number
  /** Records that a start has been ordered. */
  noteOrdered(): void
  /**
   * Records that a start has been answered, has failed or was not sent.
   * @param tookMs time from the order to the answer, in ms; undefined if it was not sent
   */
  noteEnded(tookMs?: number): void
  /** Whether the owner cannot order starts as fast as they become due. */
  isBehind(): boolean
  /** Returns the highest recent rate of answered starts per second. */
  perSecond(): number
  /** Returns the usual time from an order to its answer in the last period, in ms. */
  delayMs(): number
}

/** Dependencies of the window. */
export interface StartWindowOptions {
  /** Called when a full window has space again. */
  freed(): void
  log: Logger
  /** Returns the time of a monotonic clock, in ms. */
  now?(): number
}

/** Creates a window without starts in flight. */
export function createStartWindow({
  freed,
  log,
  now = monotonicMs,
}: StartWindowOptions): StartWindow {
  let size = INITIAL_SIZE
  let inFlight = 0
  let wasFull = false
  let answerTimes: number[] = []
  let periodStart = now()
  /** Rates of recent periods, in starts per second, with their monotonic times in ms. */
  let rates: { at: number; perSecond: number }[] = []
  let behindUntil = -Infinity
  /** Usual time from an order to its answer in the last period, in ms, and when that was measured. */
  let delay = { at: -Infinity, ms: 0 }
  /** Delays of recent periods. */
  let delays: (typeof delay)[] = []

  const perSecond = (): number => Math.max(0, ...rates.map((each) => each.perSecond))

  /** Whether most starts of the period were answered late. */
  const isLate = (): boolean =>
    quantileOf(answerTimes, 1 - MIN_LATE_SHARE) > LATE_AFTER_MS

  function noteBehind(at: number): void {
    if (at >= behindUntil) {
      const roundedRate = Math.round(perSecond())
      log.event('ownerBehind', { inFlight, size, perSecond: roundedRate })
    }
    behindUntil = at + BEHIND_MS
  }

  /** The part of the delay that does not come from the starts in flight, in ms. */
  const leastDelayMs = (): number =>
    Math.min(MAX_LEAST_DELAY_MS, ...delays.map(({ ms }) => ms))

  /**
   * Resizes the window after a period. While the owner is behind it is as large as is answered in time;
   * an owner that keeps up may need more.
   */
  function resize(at: number, answeredPerMs: number): void {
    const inTime = answeredPerMs * (leastDelayMs() + LATE_AFTER_MS)
    if (isLate()) {
      const most = size * (inTime < size ? DECREASE_FACTOR : INCREASE_FACTOR)
      size = Math.min(MAX_SIZE, Math.max(MIN_SIZE, Math.floor(Math.min(most, inTime))))
      return noteBehind(at)
    }
    if (!wasFull) return
    if (at < behindUntil) {
      size = Math.min(MAX_SIZE, Math.max(size + BEHIND_INCREASE, Math.floor(inTime)))
      // It is still behind: answers come in time because other starts wait for the window.
      return noteBehind(at)
    }
    const limit = Math.max(INITIAL_SIZE, inTime * MAX_IN_TIME_FACTOR)
    const grown = Math.min(MAX_SIZE, limit, size * INCREASE_FACTOR)
    size = Math.max(size, Math.ceil(grown))
  }

  function endPeriod(): void {
    const at = now()
    const ms = at - periodStart
    if (ms < UPDATE_PERIOD_MS || answerTimes.length < MIN_ANSWERS) return
    const answeredPerMs = answerTimes.length / ms
    rates = rates.filter((each) => at - each.at < RATE_WINDOW_MS)
    rates.push({ at, perSecond: answeredPerMs * 1000 })
    delay = { at, ms: quantileOf(answerTimes, 0.5) }
    delays = delays.filter((each) => at - each.at < LEAST_DELAY_WINDOW_MS)
    delays.push(delay)
    resize(at, answeredPerMs)
    answerTimes = []
    periodStart = at
    wasFull = inFlight >= size
  }

  return {
    available: () => Math.max(0, size - inFlight),
    noteOrdered() {
      inFlight++
      if (inFlight >= size) wasFull = true
    },
    noteEnded(tookMs) {
      const isFull = inFlight >= size
      inFlight--
      if (tookMs !== undefined) answerTimes.push(tookMs)
      endPeriod()
      if (isFull && inFlight < size) freed()
    },
    isBehind: () => now() < behindUntil,
    perSecond,
    delayMs: () => (now() - delay.at < RATE_WINDOW_MS ? delay.ms : 0),
  }
}

/** Returns the value below which the given share of the values lies; 0 without any. */
function quantileOf(values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length * share)] ?? 0
}
