/**
 * How soon a peer should have answered, by how soon it did lately: the retransmission timer
 * of RFC 6298 (V. Paxson et al., 2011), after V. Jacobson, "Congestion avoidance and control",
 * SIGCOMM 1988.
 */

/** Weight of the newest answer in the mean and in the variation. */
const MEAN_WEIGHT = 1 / 8
const VARIATION_WEIGHT = 1 / 4
/** Variations beyond the mean after which an answer counts as missing. */
const VARIATION_MULTIPLIER = 4
/** Growth of the time with each answer that was missing since the last one. */
const BACKOFF_FACTOR = 2

/** The answer times of one peer. */
export interface RoundTrip {
  /** Takes note of an answer that the peer gave at once. */
  note(tookMs: number): void
  /** An answer was missing: the next one is waited for longer. */
  missed(): void
  /** Time after which an answer is missing, in ms. */
  timeoutMs(): number
}

/** Creates the timer; before the first answer it is at its longest. Bounds are in ms. */
export function createRoundTrip(opts: { leastMs: number; mostMs: number }): RoundTrip {
  let meanMs: number | undefined
  let variationMs = 0
  let backoff = 1

  return {
    note(tookMs) {
      backoff = 1
      if (meanMs === undefined) {
        meanMs = tookMs
        variationMs = tookMs / 2
        return
      }
      variationMs += (Math.abs(tookMs - meanMs) - variationMs) * VARIATION_WEIGHT
      meanMs += (tookMs - meanMs) * MEAN_WEIGHT
    },
    missed: () => void (backoff *= BACKOFF_FACTOR),
    timeoutMs() {
      if (meanMs === undefined) return opts.mostMs
      const expectedMs = Math.max(
        opts.leastMs,
        meanMs + variationMs * VARIATION_MULTIPLIER,
      )
      return Math.min(opts.mostMs, expectedMs * backoff)
    },
  }
}
