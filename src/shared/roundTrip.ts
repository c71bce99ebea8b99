/**
 * Time-out for the answers of a peer, estimated from its recent answer times: the
 * retransmission timer of RFC 6298 (V. Paxson et al., 2011), after V. Jacobson, "Congestion
 * avoidance and control", SIGCOMM 1988.
 */

/** Weights of the newest answer in the mean and in the variation. */
const MEAN_WEIGHT = 1 / 8
const VARIATION_WEIGHT = 1 / 4
/** Number of variations above the mean after which an answer counts as missing. */
const VARIATION_MULTIPLIER = 4
/** Factor by which each missing answer lengthens the time-out until one arrives. */
const BACKOFF_FACTOR = 2

/** Time-out estimate of one peer. */
export interface AdaptiveTimeout {
  /** Records the time of an answer that the peer gave without waiting. */
  note(tookMs: number): void
  /** Records a missing answer, which increases the time-out. */
  missed(): void
  /** Time after which an answer is missing, in ms. */
  timeoutMs(): number
}

/** Creates the estimate, which is `maxMs` before the first answer. Bounds are in ms. */
export function createAdaptiveTimeout(opts: {
  minMs: number
  maxMs: number
}): AdaptiveTimeout {
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
      if (meanMs === undefined) return opts.maxMs
      const expectedMs = Math.max(opts.minMs, meanMs + variationMs * VARIATION_MULTIPLIER)
      return Math.min(opts.maxMs, expectedMs * backoff)
    },
  }
}
