/** How many orders to the cloud may still be given now. */

/** Time over which the cloud counts orders, in ms. */
const WINDOW_MS = 1000

/** A bound on the orders within any second. */
export interface OrderRateLimiter {
  /** Takes as much of `wanted` as is left, and returns how much that is. */
  take(wanted: number, now: number): number
}

/** Creates a budget of which nothing has been used. */
export function createOrderRateLimiter(perSecond: number): OrderRateLimiter {
  let sentTimes: number[] = []
  return {
    take(wanted, now) {
      sentTimes = sentTimes.filter((at) => now - at < WINDOW_MS)
      const taken = Math.max(0, Math.min(wanted, perSecond - sentTimes.length))
      for (let each = 0; each < taken; each++) sentTimes.push(now)
      return taken
    },
  }
}
