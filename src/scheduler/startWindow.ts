/**
 * Bounds the starts that an owner has ordered and that have no answer yet. Where the owner itself
 * is the bottleneck, for want of processor time or bandwidth, work waits in the planner, which
 * knows what is urgent, and not in queues of orders. Additive increase and multiplicative decrease
 * after D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms for congestion
 * avoidance in computer networks", 1989; the signal is the delay, as in TCP Vegas.
 */
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

/** Starts in flight before anything is known of the owner's pace. */
const INITIAL_SIZE = 24
/** Bounds of the window, in starts. */
const MIN_SIZE = 4
const MAX_SIZE = 1024
/**
 * Time within which most calls should be answered, in ms. Targets answer within a few ms, so that
 * the rest is the owner's own delay, or that of its link.
 */
const LATE_AFTER_MS = 250
/** Time between two changes of the size, in ms. */
const UPDATE_PERIOD_MS = 250
/** Answers that a change rests on at least. */
const MIN_ANSWERS = 4
/** Factor by which the window shrinks when most starts were answered late. */
const DECREASE_FACTOR = 0.75
/** Growth while the owner is behind, in starts, and as a factor while it is not. */
const BEHIND_INCREASE = 1
const INCREASE_FACTOR = 1.5
/** Share of the answers that must be late: a slow target or two say nothing of the owner. */
const MIN_LATE_SHARE = 0.75
/** Time for which the owner counts as behind after most starts were answered late, in ms. */
const BEHIND_MS = 2000
/** Time for which a pace that was reached once counts, in ms: it falls where there is no room. */
const RATE_WINDOW_MS = 3000

/** Starts in flight of one owner. */
export interface StartWindow {
  /** Starts that may be ordered now. */
  left(): number
  /** A start has been ordered. */
  opened(): void
  /**
   * The start has been answered, has failed, or was not sent.
   * @param tookMs time from the call to the answer, in ms; undefined if it was not sent
   */
  closed(tookMs?: number): void
  /** Whether the owner cannot order what waits for it as fast as it comes. */
  isBehind(): boolean
  /** Starts that were answered in a second, at the best of the last seconds. */
  perSecond(): number
}

/** What the window works with. */
export interface StartWindowOptions {
  /** Called when a full window has room again. */
  freed(): void
  log: Logger
  /** Steady clock, in ms. */
  now?(): number
}

/** Creates a window without starts. */
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
  /** Paces of the last periods, in starts a second, with their steady times in ms. */
  let rates: { at: number; perSecond: number }[] = []
  let behindUntil = -Infinity

  const perSecond = (): number => Math.max(0, ...rates.map((each) => each.perSecond))

  /** Whether nearly all starts of the period were answered late. */
  function isLate(): boolean {
    const sorted = [...answerTimes].sort((a, b) => a - b)
    return (sorted[Math.floor(sorted.length * (1 - MIN_LATE_SHARE))] ?? 0) > LATE_AFTER_MS
  }

  function noteBehind(at: number): void {
    if (at >= behindUntil) {
      const roundedRate = Math.round(perSecond())
      log.event('ownerBehind', { inFlight, size, perSecond: roundedRate })
    }
    behindUntil = at + BEHIND_MS
  }

  function endPeriod(): void {
    const at = now()
    const ms = at - periodStart
    if (ms < UPDATE_PERIOD_MS || answerTimes.length < MIN_ANSWERS) return
    rates = rates.filter((each) => at - each.at < RATE_WINDOW_MS)
    rates.push({ at, perSecond: (answerTimes.length * 1000) / ms })
    if (isLate()) {
      size = Math.max(MIN_SIZE, Math.floor(size * DECREASE_FACTOR))
      noteBehind(at)
    } else if (wasFull) {
      const grown =
        at < behindUntil ? size + BEHIND_INCREASE : Math.ceil(size * INCREASE_FACTOR)
      size = Math.min(MAX_SIZE, grown)
    }
    answerTimes = []
    periodStart = at
    wasFull = inFlight >= size
  }

  return {
    left: () => Math.max(0, size - inFlight),
    opened() {
      inFlight++
      if (inFlight >= size) wasFull = true
    },
    closed(tookMs) {
      const isFull = inFlight >= size
      inFlight--
      if (tookMs !== undefined) answerTimes.push(tookMs)
      endPeriod()
      if (isFull && inFlight < size) freed()
    },
    isBehind: () => now() < behindUntil,
    perSecond,
  }
}
