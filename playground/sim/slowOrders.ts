/**
 * Limits how fast an owner handles its calls to targets: like a process with little processor time,
 * it sends one order or reads one answer after another, each for some time.
 */
import type { TargetOrders } from '../../src/ports/index.js'
import { monotonicMs, sleep } from '../../src/shared/index.js'

/** Processor time that each call takes, in ms. */
export interface CallCosts {
  /** To send a start, and to read its answer. */
  startMs: number
  /** To read a report. */
  reportMs: number
}

/** Wraps the orders of one owner. */
export function createSlowOrders(
  orders: TargetOrders,
  { startMs, reportMs }: CallCosts,
): TargetOrders {
  let idleAt = 0

  /** Resolves once all calls before this one and its own `ms` are through. */
  async function takeTurn(ms: number): Promise<void> {
    const now = monotonicMs()
    idleAt = Math.max(idleAt, now) + ms
    await sleep(idleAt - now)
  }

  return {
    open(target) {
      const link = orders.open(target)
      return {
        ...link,
        async start(order, timeoutMs) {
          await takeTurn(startMs / 2)
          const res = await link.start(order, timeoutMs)
          await takeTurn(startMs / 2)
          return res
        },
        async sync(order, timeoutMs) {
          const res = await link.sync(order, timeoutMs)
          await takeTurn(reportMs)
          return res
        },
      }
    },
  }
}
