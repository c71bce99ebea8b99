/**
 * Admission control per service: limits the requests in flight to this entry's capacity.
 * Further requests are queued up to their deadline. When the queue is full, the fair queue
 * decides whether the new request or a queued one is refused at once.
 */
import { monotonicMs } from '../shared/index.js'
import type { Cancellation } from './cancellation.js'
import { createFairQueue } from './fairQueue.js'
import type { Priority, QueuedRequest } from './fairQueue.js'

/** Weight of the latest request in the moving average of times in flight. */
const MEAN_SMOOTHING = 0.05
/** Multiple of that average that must remain before the deadline. */
const NEEDED_MEAN_MULTIPLE = 2
/**
 * Upper bound of that remaining time, as a share of the time from queueing to the
 * deadline.
 */
const MAX_NEEDED_SHARE = 0.5

/** Result of a request for admission. */
export type Admission = 'admitted' | 'queue full' | 'deadline passed' | 'caller left'

/** A request for admission. */
export interface AdmitOptions {
  priority: Priority
  team: string
  /** Monotonic time in ms after which the request is no longer admitted. */
  deadline: number
  cancellation: Cancellation
}

/** Admission for one service. */
export interface Limiter {
  /**
   * Resolves when the request may start or never will. After `admitted`, call
   * `release`.
   */
  admit(opts: AdmitOptions): Promise<Admission>
  /** Ends an admitted request that was in flight for `heldMs`. */
  release(heldMs: number): void
  /** Admits queued requests up to the capacity; call it when the capacity changes. */
  admitWaiting(): void
  inFlight(): number
  queued(): number
}

/** Options of {@link createLimiter}. */
export interface LimiterOptions {
  /** Most requests in flight now; called at each admission. */
  capacity(): number
  /** Most requests in the queue. */
  maxQueue: number
  /** Weight of a team relative to other teams of the same priority. */
  weightOf(team: string): number
}

interface Waiter extends QueuedRequest {
  /** Monotonic time in ms at which the caller stops waiting. */
  deadline: number
  /** Time from queueing to the deadline, in ms. */
  allowedMs: number
  settle(how: Admission): void
}

/** Creates a limiter without requests. */
export function createLimiter(opts: LimiterOptions): Limiter {
  const { capacity, maxQueue } = opts
  const queue = createFairQueue<Waiter>(opts.weightOf)
  let inFlight = 0
  /** Moving average of the time that a request is in flight, in ms. */
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
   * Whether the request is unlikely to be answered in time: sent now, it would use a slot
   * and most likely end with the outcome "unknown".
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
 * This entry's part of a limit shared by all entries. Parts depend only on the sorted ids
 * of the entries and add up to the limit exactly.
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
