/**
 * Admission per service: at most as many requests in flight as this entry may have now.
 * The rest wait for their turn, up to their deadline; when too many wait, the one that
 * has the least claim to a place is refused at once.
 */
import { monotonicMs } from '../shared/index.js'
import type { Cancellation } from './cancellation.js'
import { createFairQueue } from './fairQueue.js'
import type { Priority, QueuedRequest } from './fairQueue.js'

/** Weight of the latest request in the running mean. */
const MEAN_SMOOTHING = 0.05
/** Multiple of the mean that must be left before the deadline. */
const NEEDED_MEAN_MULTIPLE = 2
/** But never more than this part of the caller's patience. */
const MAX_NEEDED_SHARE = 0.5

/** How a wait for admission ended. */
export type Admission = 'admitted' | 'queue full' | 'deadline passed' | 'caller left'

/** Options of one wait. */
export interface AdmitOptions {
  priority: Priority
  team: string
  /** Monotonic time in ms at which waiting is pointless. */
  deadline: number
  cancellation: Cancellation
}

/** Admission for one service. */
export interface Limiter {
  /** Resolves when the request may start or never will. After `admitted`, call `leave`. */
  admit(opts: AdmitOptions): Promise<Admission>
  /** Ends one admitted request, which held its place for so long. */
  release(heldMs: number): void
  /** Admits as many waiting requests as now fit; call it when capacity changed. */
  admitWaiting(): void
  inFlight(): number
  queued(): number
}

/** Options of {@link createLimiter}. */
export interface LimiterOptions {
  /** Requests that may be in flight now; asked anew each time. */
  capacity(): number
  /** Requests that may wait. */
  maxQueue: number
  /** Share of the turns of a team against others of its band. */
  weightOf(team: string): number
}

interface Waiter extends QueuedRequest {
  /** Monotonic time in ms at which the caller gives up. */
  deadline: number
  /** Time between its arrival and its deadline, in ms. */
  allowedMs: number
  settle(how: Admission): void
}

/** Creates a limiter without requests. */
export function createLimiter(opts: LimiterOptions): Limiter {
  const { capacity, maxQueue } = opts
  const queue = createFairQueue<Waiter>(opts.weightOf)
  let inFlight = 0
  /** Running mean of the time that a request holds its place, in ms. */
  let meanHeldMs = 0

  function admitWaiting(): void {
    if (queue.size() === 0) return
    let free = capacity() - inFlight
    while (free > 0) {
      const waiter = queue.next()
      if (!waiter) return
      if (isTooLate(waiter)) {
        waiter.settle('deadline passed')
        continue
      }
      waiter.settle('admitted')
      free--
    }
  }

  /**
   * Whether the request would hardly be answered in time: sent now, it would most likely
   * end as "unknown", after using a slot for nothing.
   */
  function isTooLate({ deadline, allowedMs }: Waiter): boolean {
    const needed = Math.min(
      meanHeldMs * NEEDED_MEAN_MULTIPLE,
      allowedMs * MAX_NEEDED_SHARE,
    )
    return deadline - monotonicMs() < needed
  }

  function wait({
    priority,
    team,
    deadline,
    cancellation,
  }: AdmitOptions): Promise<Admission> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        priority,
        team,
        deadline,
        allowedMs: deadline - monotonicMs(),
        settle(how) {
          queue.remove(waiter)
          clearTimeout(timer)
          unsubscribe()
          if (how === 'admitted') inFlight++
          resolve(how)
        },
      }
      const ms = Math.max(0, deadline - monotonicMs())
      const timer = setTimeout(() => waiter.settle('deadline passed'), ms)
      const unsubscribe = cancellation.subscribe(() => waiter.settle('caller left'))
      queue.add(waiter)
    })
  }

  return {
    async admit(request) {
      if (request.cancellation.cancelled) return 'caller left'
      if (queue.size() === 0 && inFlight < capacity()) {
        inFlight++
        return 'admitted'
      }
      if (request.deadline <= monotonicMs()) return 'deadline passed'
      if (queue.size() >= maxQueue) {
        const evicted = queue.evictionCandidate(request)
        if (!evicted) return 'queue full'
        evicted.settle('queue full')
      }
      return wait(request)
    },
    release(heldMs) {
      inFlight--
      meanHeldMs += (heldMs - meanHeldMs) * MEAN_SMOOTHING
      admitWaiting()
    },
    admitWaiting,
    inFlight: () => inFlight,
    queued: () => queue.size(),
  }
}

/**
 * This entry's part of a limit that holds over all entries: fixed parts that add up to
 * the limit exactly, by the order of the ids in the settings.
 */
export function partOfLimit(
  limit: number,
  entries: readonly string[],
  own: string,
): number {
  const ordered = [...new Set([...entries, own])].sort()
  const rank = ordered.indexOf(own)
  const base = Math.floor(limit / ordered.length)
  return base + (rank < limit % ordered.length ? 1 : 0)
}
