/** Keeps retries to a share of fresh requests, so that an outage is not multiplied. */

/** Most retries saved up. */
const MAX_SAVED_RETRIES = 20

/** A budget of retries. */
export interface RetryBudget {
  /** Notes a fresh request. */
  deposit(): void
  /** Takes one retry out; false when none is left. */
  withdraw(): boolean
}

/** Creates a budget that grows by `retryShare` for each fresh request. */
export function createRetryBudget(retryShare: number): RetryBudget {
  let available = 1
  return {
    deposit() {
      available = Math.min(MAX_SAVED_RETRIES, available + retryShare)
    },
    withdraw() {
      if (available < 1) return false
      available -= 1
      return true
    },
  }
}
