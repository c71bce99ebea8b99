/** Limits retries to a share of new requests, so that they do not multiply an outage. */

/** Most retries that may accumulate. */
const MAX_SAVED_RETRIES = 20

/** A budget of retries. */
export interface RetryBudget {
  /** Counts a new request. */
  deposit(): void
  /** Takes one retry; false when none is left. */
  withdraw(): boolean
}

/** Creates a budget of one retry that grows by `retryShare` with each new request. */
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
