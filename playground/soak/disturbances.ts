/**
 * Tracks disturbances of nodes and the store. Most time bounds are only checked while the system
 * is undisturbed.
 */

/** Time since the last disturbance after which the system counts as undisturbed, in ms. */
const UNDISTURBED_AFTER_MS = 4000
/** Delay of a check, in ms, that shows that the soak's own process was stalled. */
const STALL_MS = 500
const CHECK_INTERVAL_MS = 100

/** Record of disturbances. */
export interface DisturbanceTracker {
  /** Records the beginning of a disturbance; call the result when it ends. */
  begin(): () => void
  /** Time since the end of the last disturbance, in ms; 0 during a disturbance. */
  undisturbedMs(): number
  isUndisturbed(): boolean
  /** Number of stalls of the soak's own process, which also runs all targets. */
  ownStalls(): number
  close(): void
}

/** Creates a tracker without disturbances. */
export function createDisturbanceTracker(): DisturbanceTracker {
  let active = 0
  let lastAt = -Infinity
  let ownStalls = 0
  let checkedAt = performance.now()
  const timer = setInterval(() => {
    const now = performance.now()
    if (now - checkedAt > CHECK_INTERVAL_MS + STALL_MS) {
      ownStalls++
      lastAt = now
    }
    checkedAt = now
  }, CHECK_INTERVAL_MS)

  const undisturbedMs = (): number => (active > 0 ? 0 : performance.now() - lastAt)

  return {
    begin() {
      active++
      return () => {
        active--
        lastAt = performance.now()
      }
    },
    undisturbedMs,
    isUndisturbed: () => undisturbedMs() > UNDISTURBED_AFTER_MS,
    ownStalls: () => ownStalls,
    close: () => clearInterval(timer),
  }
}
