/** Maximum of recent values, by name. */

/** Peaks within a sliding window, by name. */
export interface PeakHold {
  /** Records a value and returns the peak. */
  note(name: string, value: number, now: number): number
}

/** A value with the time at which it was recorded, in ms. */
interface Sample {
  at: number
  value: number
}

/** Creates a peak hold whose window is `holdMs` long. */
export function createPeakHold(holdMs: number): PeakHold {
  const samples = new Map<string, Sample[]>()
  return {
    note(name, value, now) {
      // Lower values before this one can no longer become the peak.
      const kept = (samples.get(name) ?? []).filter(
        (each) => now - each.at < holdMs && each.value > value,
      )
      kept.push({ at: now, value })
      samples.set(name, kept)
      return kept[0]?.value ?? value
    },
  }
}
