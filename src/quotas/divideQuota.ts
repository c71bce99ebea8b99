/** Divides a quota between services. */

/**
 * Divides an amount by max-min fairness: whoever wants less than an equal part gets all of it, and
 * the others share what is left equally (D. Bertsekas, R. Gallager, "Data Networks", 1992, 6.5.2).
 * @returns the parts, in the order of `wants`; their sum is the smaller of `amount` and all wants
 */
export function divideFairly(amount: number, wants: readonly number[]): number[] {
  const parts = wants.map(() => 0)
  const ascending = [...wants.keys()].sort((a, b) => wants[a]! - wants[b]!)
  let left = Math.max(0, amount)
  for (const [rank, index] of ascending.entries()) {
    const part = Math.min(wants[index]!, left / (ascending.length - rank))
    parts[index] = part
    left -= part
  }
  return parts
}

/**
 * Divides a quota by what services want, and spreads a share of the rest evenly, so that a service
 * can start its next tasks without waiting for a larger part.
 * @param spreadShare share of the rest that is spread; what remains can be given out at once
 */
export function divideQuota(
  amount: number,
  wants: readonly number[],
  spreadShare: number,
): number[] {
  const parts = divideFairly(amount, wants)
  const rest = Math.max(0, amount - parts.reduce((sum, part) => sum + part, 0))
  return parts.map((part) => part + (rest * spreadShare) / wants.length)
}
