/**
 * Lease of everything that runs on one target. It is given on the target's clock, which
 * is estimated from its answers; when it is over for certain is counted on our own.
 */
import { monotonicMs } from '../shared/index.js'
import {
  CLOCK_SKEW,
  LEASE_MARGIN_MS,
  MAX_LEASE_MS,
  SYNC_WAIT_MS,
  TASK_LEASE_MS,
} from './constants.js'

/** The lease of one target. */
export interface TargetLease {
  /** Takes note of the target's clock, as an answer tells it. */
  noteClock(clockMs: number): void
  /**
   * Starts over with the clock of another life of the target. Orders with a lease end on the
   * clock of the earlier life may have reached it, so the longest lease is assumed.
   */
  reset(clockMs: number): void
  /** End of a lease that begins now, on the target's clock; undefined before it is known. */
  extend(): number | undefined
  /** Whether every lease that was given is over, also on a clock that is slow. */
  isExpired(): boolean
  /** Steady time at which that is so, in ms. */
  expiresAt(): number
}

/**
 * Creates the lease.
 * @param inheritedMs time that unknown runs of the predecessor may last
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
      expiresAt = now + MAX_LEASE_MS * (1 + CLOCK_SKEW) + LEASE_MARGIN_MS
    },
    extend() {
      if (!clock) return undefined
      const now = monotonicMs()
      const durationMs = TASK_LEASE_MS * (1 + CLOCK_SKEW) + LEASE_MARGIN_MS
      expiresAt = Math.max(expiresAt, now + durationMs)
      return Math.floor(clock.clockMs + (now - clock.at) + TASK_LEASE_MS)
    },
    isExpired: () => monotonicMs() >= expiresAt,
    expiresAt: () => expiresAt,
  }
}
