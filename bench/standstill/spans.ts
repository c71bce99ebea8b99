/** A span of time, in ms since 1970. */
export interface Span {
  from: number
  until: number
}

/** Merges spans that overlap or touch; the result is sorted. */
export function mergeSpans(spans: Span[]): Span[] {
  const merged: Span[] = []
  for (const span of spans.toSorted((a, b) => a.from - b.from)) {
    const last = merged.at(-1)
    if (last && span.from <= last.until) last.until = Math.max(last.until, span.until)
    else if (span.until > span.from) merged.push({ ...span })
  }
  return merged
}

/** Returns the parts that lie in spans of both lists, merged. */
export function intersectSpans(some: Span[], others: Span[]): Span[] {
  const both = some.flatMap((one) =>
    others.map((other) => ({
      from: Math.max(one.from, other.from),
      until: Math.min(one.until, other.until),
    })),
  )
  return mergeSpans(both.filter(({ from, until }) => until > from))
}

/** Returns the parts of `some` that are in none of `others`; both must be merged. */
export function subtractSpans(some: Span[], others: Span[]): Span[] {
  return some.flatMap(({ from, until }) => {
    const remaining: Span[] = []
    let start = from
    for (const other of others) {
      if (other.until <= start || other.from >= until) continue
      if (other.from > start) remaining.push({ from: start, until: other.from })
      start = other.until
    }
    if (start < until) remaining.push({ from: start, until })
    return remaining
  })
}

/** Returns the longest span, the first one of equals. */
export function longestSpan(spans: Span[]): Span | undefined {
  let longest: Span | undefined
  for (const span of spans) {
    if (!longest || spanMs(span) > spanMs(longest)) longest = span
  }
  return longest
}

/** Length of a span, in ms. */
export const spanMs = ({ from, until }: Span): number => until - from
