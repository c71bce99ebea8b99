/** Measures how busy the event loop of this process is, and logs when it has no time to spare. */
import { performance } from 'node:perf_hooks'
import type { Logger } from './logger.js'
import { monotonicMs } from './utils.js'

/** Length of a measurement, in ms; two of them take half a second. */
const PERIOD_MS = 250
/** Use from which the processor is saturated, as a share, and measurements in a row that show it. */
const SATURATED_SHARE = 0.9
const SATURATED_PERIODS = 2
/** Shortest time between two log lines, in ms. */
const MIN_LOG_INTERVAL_MS = 1000

/** Use of the processor by this process. */
export interface ProcessorUse {
  /** Share of time in which the event loop was busy in the last measurement. */
  share(): number
  /** Whether it has been busy nearly all of the time for half a second. */
  isSaturated(): boolean
  stop(): void
}

/**
 * Starts measuring. The share is the time in which the event loop was busy: a host that gives less
 * processor time than the process asks for keeps it busy for longer.
 */
export function watchProcessorUse(log: Logger): ProcessorUse {
  let loop = performance.eventLoopUtilization()
  let share = 0
  let saturatedPeriods = 0
  let loggedAt = -Infinity

  function logSaturation(now: number): void {
    if (saturatedPeriods < SATURATED_PERIODS) return
    if (now - loggedAt < MIN_LOG_INTERVAL_MS) return
    loggedAt = now
    log.event('processorSaturated', { share: Math.round(share * 100) / 100 })
  }

  function measure(): void {
    const next = performance.eventLoopUtilization()
    share = performance.eventLoopUtilization(next, loop).utilization
    loop = next
    saturatedPeriods = share >= SATURATED_SHARE ? saturatedPeriods + 1 : 0
    logSaturation(monotonicMs())
  }

  const timer = setInterval(measure, PERIOD_MS)
  return {
    share: () => share,
    isSaturated: () => saturatedPeriods >= SATURATED_PERIODS,
    stop: () => clearInterval(timer),
  }
}
