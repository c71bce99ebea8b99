/**
 * Queue of the waiting requests of one service. Requests are ordered by priority; within a
 * priority, teams share the turns by weight; within a team, requests are in order of
 * arrival. A team that sends too many requests lengthens only its own wait.
 */

/** Priorities of requests, in the order in which they are served. */
export const PRIORITIES = ['urgent', 'normal', 'deferrable'] as const
export type Priority = (typeof PRIORITIES)[number]

/** A waiting request. */
export interface QueuedRequest {
  priority: Priority
  team: string
}

interface TeamQueue<T> {
  team: string
  items: Set<T>
  /** Requests served, divided by the weight; the team with the lowest value is next. */
  pass: number
}

/** Waiting requests in the order in which they are served. */
export interface FairQueue<T extends QueuedRequest> {
  size(): number
  add(item: T): void
  remove(item: T): void
  /** Removes and returns the next request. */
  next(): T | undefined
  /**
   * The queued request to refuse in favour of a new one: the latest of the team with the
   * longest queue for its weight, in the lowest priority that is not above the new one's.
   * Undefined when the new request itself is to be refused.
   */
  evictionCandidate(item: QueuedRequest): T | undefined
}

/** Creates an empty queue; `weightOf` is called at each turn. */
export function createFairQueue<T extends QueuedRequest>(
  weightOf: (team: string) => number,
): FairQueue<T> {
  const bands = new Map(PRIORITIES.map((p) => [p, new Map<string, TeamQueue<T>>()]))
  let size = 0

  const effectiveWeight = (team: string): number =>
    Math.max(weightOf(team), Number.MIN_VALUE)

  function leastServed(band: Map<string, TeamQueue<T>>): TeamQueue<T> | undefined {
    let best: TeamQueue<T> | undefined
    for (const queue of band.values()) {
      if (!best || queue.pass < best.pass) best = queue
    }
    return best
  }

  function longestQueue(
    band: Map<string, TeamQueue<T>>,
    extra: QueuedRequest | undefined,
  ) {
    let best: { queue: TeamQueue<T>; length: number } | undefined
    for (const queue of band.values()) {
      const added = extra?.team === queue.team ? 1 : 0
      const length = (queue.items.size + added) / effectiveWeight(queue.team)
      if (!best || length > best.length) best = { queue, length }
    }
    return best
  }

  const bandOf = (priority: Priority) => bands.get(priority)!

  return {
    size: () => size,
    add(item) {
      const band = bandOf(item.priority)
      let queue = band.get(item.team)
      if (!queue) {
        // A team that had no waiting requests earns no turns for that time.
        const pass = leastServed(band)?.pass ?? 0
        queue = { team: item.team, items: new Set(), pass }
        band.set(item.team, queue)
      }
      queue.items.add(item)
      size++
    },
    remove(item) {
      const band = bandOf(item.priority)
      const queue = band.get(item.team)
      if (!queue?.items.delete(item)) return
      size--
      if (queue.items.size === 0) band.delete(item.team)
    },
    next() {
      for (const priority of PRIORITIES) {
        const band = bandOf(priority)
        const queue = leastServed(band)
        if (!queue) continue
        const [item] = queue.items
        queue.pass += 1 / effectiveWeight(queue.team)
        this.remove(item!)
        return item
      }
      return undefined
    },
    evictionCandidate(item) {
      const own = PRIORITIES.indexOf(item.priority)
      for (let at = PRIORITIES.length - 1; at >= own; at--) {
        const isOwnBand = at === own
        const band = bandOf(PRIORITIES[at]!)
        const found = longestQueue(band, isOwnBand ? item : undefined)
        if (!found) continue
        if (isOwnBand && !isLonger(found.length, item)) return undefined
        if (isOwnBand && found.queue.team === item.team) return undefined
        return [...found.queue.items].at(-1)
      }
      return undefined
    },
  }

  /**
   * Whether the weighted length exceeds that of one request of the new request's team.
   */
  function isLonger(length: number, item: QueuedRequest): boolean {
    return length > 1 / effectiveWeight(item.team)
  }
}
