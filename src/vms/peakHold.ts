/** Remembers the highest of the values of the last while, by name. */

/** Peaks of the last while, by name. */
export interface PeakHold {
  /** Notes a value and returns the peak. */
  note(name: string, value: number, now: number): number
}

/** A value with its time. */
interface Sample {
  at: number
  value: number
}

/** Creates a memory that holds each value for `holdMs`. */
export function createPeakHold(holdMs: number): PeakHold {
  const samples = new Map<string, Sample[]>()
  return {
    note(name, value, now) {
      // Only falling values are kept: a higher one hides all lower ones before it.
      const kept = (samples.get(name) ?? []).filter(
        (each) => now - each.at < holdMs && each.value > value,
      )
      kept.push({ at: now, value })
      samples.set(name, kept)
      return kept[0]?.value ?? value
    },
  }
}
