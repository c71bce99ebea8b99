/**
 * Admission per service: at most as many requests in flight as this entry's part of
 * the service's limit and as the usable slots allow. The rest wait in order of
 * priority and arrival, up to their deadline.
 */
import { monotonicMs } from '../shared/index.js'
import type { Cancellation } from './cancellation.js'

/** Which requests go first. */
export const PRIORITIES = ['urgent', 'normal', 'deferrable'] as const
export type Priority = (typeof PRIORITIES)[number]

/** How a wait for admission ended. */
export type Admission = 'admitted' | 'queue full' | 'deadline passed' | 'caller left'

/** Options of one wait. */
export interface AdmitOptions {
  priority: Priority
  /** Monotonic time in ms at which waiting is pointless. */
  deadline: number
  cancellation: Cancellation
}

/** Admission for one service. */
export interface Limiter {
  /** Resolves when the request may start or never will. After `admitted`, call `leave`. */
  admit(opts: AdmitOptions): Promise<Admission>
  /** Ends one admitted request. */
  leave(): void
  /** Admits as many waiting requests as now fit; call it when capacity changed. */
  wake(): void
  inFlight(): number
  queued(): number
}

interface Waiter {
  settle(how: Admission): void
}

/** Creates a limiter. `capacity` is asked anew each time. */
export function createLimiter(capacity: () => number, maxQueue: number): Limiter {
  const queues = new Map<Priority, Set<Waiter>>(PRIORITIES.map((p) => [p, new Set()]))
  let inFlight = 0
  let queued = 0

  function wake(): void {
    if (queued === 0) return
    let free = capacity() - inFlight
    for (const priority of PRIORITIES) {
      for (const waiter of queues.get(priority)!) {
        if (free <= 0) return
        free--
        waiter.settle('admitted')
      }
    }
  }

  function wait(opts: AdmitOptions): Promise<Admission> {
    return new Promise((resolve) => {
      const queue = queues.get(opts.priority)!
      const waiter: Waiter = {
        settle(how) {
          queue.delete(waiter)
          queued--
          clearTimeout(timer)
          unsubscribe()
          if (how === 'admitted') inFlight++
          resolve(how)
        },
      }
      const ms = Math.max(0, opts.deadline - monotonicMs())
      const timer = setTimeout(() => waiter.settle('deadline passed'), ms)
      const unsubscribe = opts.cancellation.subscribe(() => waiter.settle('caller left'))
      queue.add(waiter)
      queued++
    })
  }

  return {
    async admit(opts) {
      if (opts.cancellation.cancelled) return 'caller left'
      if (queued === 0 && inFlight < capacity()) {
        inFlight++
        return 'admitted'
      }
      if (opts.deadline <= monotonicMs()) return 'deadline passed'
      if (queued >= maxQueue) return 'queue full'
      return wait(opts)
    },
    leave() {
      inFlight--
      wake()
    },
    wake,
    inFlight: () => inFlight,
    queued: () => queued,
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
