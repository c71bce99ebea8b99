/** A set of integers that takes memory by its ranges and not by its members. */

/** First and last member of a range. */
export type Range = [first: number, last: number]

/** A set of integers. */
export interface RangeSet {
  readonly size: number
  has(value: number): boolean
  /** Adds a value; false if it is in the set. */
  add(value: number): boolean
  addRange(range: Readonly<Range>): void
  /** The ranges in rising order, with a gap between any two. */
  ranges(): readonly Readonly<Range>[]
}

/** Creates a set with the members of the ranges, which may overlap. */
export function createRangeSet(initial: readonly Readonly<Range>[] = []): RangeSet {
  const ranges: Range[] = []
  let size = 0

  /** Index of the first range that ends at or after the value. */
  function indexOf(value: number): number {
    let low = 0
    let high = ranges.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (ranges[middle]![1] < value) low = middle + 1
      else high = middle
    }
    return low
  }

  const has = (value: number): boolean =>
    (ranges[indexOf(value)]?.[0] ?? Infinity) <= value

  function addRange([first, last]: Readonly<Range>): void {
    if (first > last) return
    const from = indexOf(first - 1)
    let to = from
    const merged: Range = [first, last]
    while (to < ranges.length && ranges[to]![0] <= last + 1) {
      const [start, end] = ranges[to]!
      merged[0] = Math.min(merged[0], start)
      merged[1] = Math.max(merged[1], end)
      size -= end - start + 1
      to++
    }
    ranges.splice(from, to - from, merged)
    size += merged[1] - merged[0] + 1
  }

  for (const range of initial) addRange(range)

  return {
    get size() {
      return size
    },
    has,
    add(value) {
      if (has(value)) return false
      addRange([value, value])
      return true
    },
    addRange,
    ranges: () => ranges,
  }
}
