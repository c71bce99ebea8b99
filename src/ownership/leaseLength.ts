/**
 * Length of the lease that an owner requests: longer while its renewals are slow because its
 * processor or network link is saturated. An expired lease then means that the node is gone, not
 * that it is busy.
 */
import type { Logger } from '../shared/index.js'
import {
  LATE_LEASE_INTERVALS,
  LATE_LEASE_MAX_MS,
  LATE_LEASE_SAMPLES,
  NODE_LEASE_MS,
} from './constants.js'

/** Lease length derived from the most recent renewals. */
export interface LeaseLength {
  /**
   * Records a successful renewal.
   * @param intervalMs time from sending the previous renewal to the answer to this one
   */
  recordRenewal(intervalMs: number): void
  /** Lease for the next row, in ms. */
  ms(): number
}

/** Smallest change of the lease that is logged, as a share of the lease logged last. */
const MIN_LOGGED_CHANGE = 0.25

/** Creates a lease length that starts at `NODE_LEASE_MS`. */
export function createLeaseLength(log: Logger): LeaseLength {
  let intervalsMs: number[] = []
  let ms = NODE_LEASE_MS
  let loggedMs = ms

  /** Logs a large change, which explains why the loss of this node is detected later. */
  function logLargeChange(): void {
    if (Math.abs(ms - loggedMs) < loggedMs * MIN_LOGGED_CHANGE) return
    log.event('ownerLease', { leaseMs: Math.round(ms), previousMs: Math.round(loggedMs) })
    loggedMs = ms
  }

  return {
    recordRenewal(intervalMs) {
      intervalsMs = [...intervalsMs, intervalMs].slice(-LATE_LEASE_SAMPLES)
      const [, secondLongestMs = 0] = [...intervalsMs].sort((a, b) => b - a)
      const requiredMs = secondLongestMs * LATE_LEASE_INTERVALS
      ms = Math.min(LATE_LEASE_MAX_MS, Math.max(NODE_LEASE_MS, requiredMs))
      logLargeChange()
    },
    ms: () => ms,
  }
}
