/**
 * Lease of all runs on one target. Its end is sent as a time of the target's clock, which is
 * estimated from answers. Its expiry is tracked on the owner's monotonic clock, with a margin
 * for a target's clock that runs slow.
 */
import { monotonicMs } from '../shared/index.js'
import {
  MAX_CLOCK_DRIFT,
  LEASE_MARGIN_MS,
  MAX_LEASE_MS,
  SYNC_WAIT_MS,
  TASK_LEASE_MS,
} from './constants.js'

/** The lease of one target. */
export interface TargetLease {
  /** Records the target's clock from an answer, in ms. */
  noteClock(clockMs: number): void
  /**
   * Starts over with the clock of another incarnation, in ms. Orders whose lease ends on the
   * clock of the earlier one may have reached it, so the longest lease is assumed.
   */
  reset(clockMs: number): void
  /**
   * Extends the lease from now on and returns its end on the target's clock, in ms; undefined
   * while that clock is unknown.
   */
  extend(): number | undefined
  /** Whether every lease granted so far has expired, even on a slow target's clock. */
  isExpired(): boolean
  /** Monotonic time at which every lease granted so far has expired, in ms. */
  expiresAt(): number
}

/**
 * Creates the lease of one target.
 * @param inheritedMs longest time for which unknown runs of the previous owner can go on, in ms
 */
export function createTargetLease(inheritedMs: number): TargetLease {
  let clock: { clockMs: number; at: number } | undefined
  let expiresAt = monotonicMs() + inheritedMs

  return {
    noteClock(clockMs) {
      const now = monotonicMs()
      const expectedMs = clock ? clock.clockMs + (now - clock.at) : -Infinity
      if (clockMs >= expectedMs || now - (clock?.at ?? 0) > SYNC_WAIT_MS) {
        clock = { clockMs, at: now }
      }
    },
    reset(clockMs) {
      const now = monotonicMs()
      clock = { clockMs, at: now }
      expiresAt = now + MAX_LEASE_MS * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS
    },
    extend() {
      if (!clock) return undefined
      const now = monotonicMs()
      const durationMs = TASK_LEASE_MS * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS
      expiresAt = Math.max(expiresAt, now + durationMs)
      return Math.floor(clock.clockMs + (now - clock.at) + TASK_LEASE_MS)
    },
    isExpired: () => monotonicMs() >= expiresAt,
    expiresAt: () => expiresAt,
  }
}
