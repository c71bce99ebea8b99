/** Limits the rate of orders to the cloud. */

/** Sliding window over which the cloud counts orders, in ms. */
const WINDOW_MS = 1000

/** Limit on the number of orders within any second. */
export interface OrderRateLimiter {
  /** Returns how many of the `wanted` orders may be sent at `now`, and counts them as sent. */
  take(wanted: number, now: number): number
}

/** Creates a rate limiter that has counted no orders yet. */
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
