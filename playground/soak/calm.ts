/** Knows whether nodes or the store were lately disturbed: bounds in time hold in calm. */

/** Time without any disturbance after which the system is calm, in ms. */
const CALM_AFTER_MS = 4000
/** A look that comes so late shows that the soak's own process stood still, in ms. */
const LATE_MS = 500
const LOOK_MS = 100

/** Disturbances of nodes and the store. */
export interface Calm {
  /** A disturbance begins; call the result when it ends. */
  begin(): () => void
  /** Time since the last disturbance, in ms; 0 while one lasts. */
  calmMs(): number
  isCalm(): boolean
  /** How often the soak's own process, and all targets with it, stood still. */
  ownStalls(): number
  close(): void
}

/** Creates the record of a system that is calm. */
export function createCalm(): Calm {
  let active = 0
  let lastAt = -Infinity
  let ownStalls = 0
  let lookedAt = performance.now()
  const timer = setInterval(() => {
    const now = performance.now()
    if (now - lookedAt > LOOK_MS + LATE_MS) {
      ownStalls++
      lastAt = now
    }
    lookedAt = now
  }, LOOK_MS)

  const calmMs = (): number => (active > 0 ? 0 : performance.now() - lastAt)

  return {
    begin() {
      active++
      return () => {
        active--
        lastAt = performance.now()
      }
    },
    calmMs,
    isCalm: () => calmMs() > CALM_AFTER_MS,
    ownStalls: () => ownStalls,
    close: () => clearInterval(timer),
  }
}
