/**
 * Clock for leases. The monotonic clock may stop while the machine is suspended. Measured by it
 * alone, a lease would outlast the time that other nodes wait for it.
 */
import { monotonicMs } from '../shared/index.js'

/** Advance of the wall clock over the monotonic clock that counts as a suspension, in ms. */
const MIN_SUSPENSION_MS = 150

/**
 * Creates a monotonic clock that includes suspensions. It must be read often: smaller differences
 * between two readings are treated as clock drift and left out. Setting the wall clock forward
 * also counts as a suspension, at the cost of a renewal.
 */
export function createLeaseClock(
  readMonotonicMs: () => number = monotonicMs,
  readWallMs: () => number = Date.now,
): () => number {
  let wallOffsetMs = readWallMs() - readMonotonicMs()
  let suspendedMs = 0
  return () => {
    const now = readMonotonicMs()
    const wallAdvanceMs = readWallMs() - now - wallOffsetMs
    if (wallAdvanceMs > MIN_SUSPENSION_MS) suspendedMs += wallAdvanceMs
    wallOffsetMs += wallAdvanceMs
    return now + suspendedMs
  }
}

/** Lease clock of this process, in ms. */
export const leaseNowMs = createLeaseClock()
