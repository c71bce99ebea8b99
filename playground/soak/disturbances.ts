/** Knows whether nodes or the store were lately disturbed: bounds in time hold in calm. */

/** Time without any disturbance after which the system is calm, in ms. */
const UNDISTURBED_AFTER_MS = 4000
/** A look that comes so late shows that the soak's own process stood still, in ms. */
const STALL_MS = 500
const CHECK_INTERVAL_MS = 100

/** Disturbances of nodes and the store. */
export interface DisturbanceTracker {
  /** A disturbance begins; call the result when it ends. */
  begin(): () => void
  /** Time since the last disturbance, in ms; 0 while one lasts. */
  undisturbedMs(): number
  isUndisturbed(): boolean
  /** How often the soak's own process, and all targets with it, stood still. */
  ownStalls(): number
  close(): void
}

/** Creates the record of a system that is calm. */
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
