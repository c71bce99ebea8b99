/**
 * Limits how fast an owner handles its calls to targets: like a process with little processor time,
 * it sends one order or reads one answer after another, each for some time.
 */
import type { TargetOrders } from '../../src/ports/index.js'
import { createLimitedProcessor } from './limitedProcessor.js'
import type { LimitedProcessor } from './limitedProcessor.js'

/** Processor time that each call takes, in ms. */
export interface CallCosts {
  /** To send a start, and to read its answer. */
  startMs: number
  /** To read a report. */
  reportMs: number
}

/** Wraps the orders of one owner, whose processor it shares with other work. */
export function createSlowOrders(
  orders: TargetOrders,
  { startMs, reportMs }: CallCosts,
  processor: LimitedProcessor = createLimitedProcessor(),
): TargetOrders {
  return {
    open(target) {
      const link = orders.open(target)
      return {
        ...link,
        async start(order, timeoutMs) {
          await processor.work(startMs / 2)
          const res = await link.start(order, timeoutMs)
          await processor.work(startMs / 2)
          return res
        },
        async sync(order, timeoutMs) {
          const res = await link.sync(order, timeoutMs)
          await processor.work(reportMs)
          return res
        },
      }
    },
  }
}
