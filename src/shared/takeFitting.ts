/** Largest size of one message, in the units of its items, and largest number of them. */
export interface MessageLimits {
  size: number
  count?: number
}

/** Removes from the front as many items as fit into one message, and at least one if there is one. */
export function takeFitting<T>(
  items: T[],
  sizeOf: (item: T) => number,
  limits: MessageLimits,
): T[] {
  const { size, count: maxCount = Infinity } = limits
  let total = 0
  let count = 0
  for (const item of items) {
    total += sizeOf(item)
    if (count > 0 && (total > size || count >= maxCount)) break
    count++
  }
  return items.splice(0, count)
}
