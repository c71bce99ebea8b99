/** How many orders to the cloud may still be given now. */

/** Time over which the cloud counts orders, in ms. */
const SPAN_MS = 1000

/** A bound on the orders within any second. */
export interface OrderBudget {
  /** Takes as much of `wanted` as is left, and returns how much that is. */
  take(wanted: number, now: number): number
}

/** Creates a budget of which nothing has been used. */
export function createOrderBudget(perSecond: number): OrderBudget {
  let given: number[] = []
  return {
    take(wanted, now) {
      given = given.filter((at) => now - at < SPAN_MS)
      const taken = Math.max(0, Math.min(wanted, perSecond - given.length))
      for (let each = 0; each < taken; each++) given.push(now)
      return taken
    },
  }
}
