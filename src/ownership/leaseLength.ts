/**
 * How long a lease an owner asks for: longer where its renewals come late, because its processor
 * or its link is full. A lapse then says that the node is gone, and not that it is busy.
 */
import type { Logger } from '../shared/index.js'
import {
  LATE_LEASE_INTERVALS,
  LATE_LEASE_MAX_MS,
  LATE_LEASE_SAMPLES,
  NODE_LEASE_MS,
} from './constants.js'

/** The lease that fits the last renewals. */
export interface LeaseLength {
  /**
   * Notes a renewal that was done.
   * @param gapMs time from the sending of the one before to the answer of this one
   */
  recordRenewal(gapMs: number): void
  /** Lease for the next row, in ms. */
  ms(): number
}

/** Change of the lease that is told, as a share of the one told last. */
const MIN_LOGGED_CHANGE = 0.25

/** Starts with the usual lease. */
export function createLeaseLength(log: Logger): LeaseLength {
  let intervalsMs: number[] = []
  let ms = NODE_LEASE_MS
  let loggedMs = ms

  /** Told when it has changed by so much, so that a node which is missed late is explained. */
  function logChange(): void {
    if (Math.abs(ms - loggedMs) < loggedMs * MIN_LOGGED_CHANGE) return
    log.event('ownerLease', { leaseMs: Math.round(ms), previousMs: Math.round(loggedMs) })
    loggedMs = ms
  }

  return {
    recordRenewal(gapMs) {
      intervalsMs = [...intervalsMs, gapMs].slice(-LATE_LEASE_SAMPLES)
      const [, secondLongestMs = 0] = [...intervalsMs].sort((a, b) => b - a)
      const requiredMs = secondLongestMs * LATE_LEASE_INTERVALS
      ms = Math.min(LATE_LEASE_MAX_MS, Math.max(NODE_LEASE_MS, requiredMs))
      logChange()
    },
    ms: () => ms,
  }
}
