/**
 * Remembers the jobs that callers have tried to submit on this node and that are not accepted, so
 * that a retry keeps the age of its first try.
 */

/** Time for which a try is remembered, in ms: four retries after at most 30 s each need 2 min. */
const TRY_TTL_MS = 150_000
/** Most tries that are remembered; about 1 MB. */
const MAX_TRIES = 5000

/** A job that was tried at least once. */
export interface Try {
  /** Monotonic time of the first try, in ms. */
  firstAt: number
  /** Whether admission has refused the job before. */
  isReturning: boolean
  /** Number of requests that are writing the job's row now. */
  writing: number
  /** Whether a request has stored the job's row, or may have, as the outcome is unknown. */
  isWritten: boolean
}

/** Whether the job may be stored by a request of this node. */
export const mayBeStored = (each: Try): boolean => each.writing > 0 || each.isWritten

/** Tries by key. */
export interface Tries {
  /** Returns the try of a job, which is its first one if none is remembered. */
  get(key: string, now: number): Try
  /** Forgets a job that has been accepted. */
  forget(key: string): void
}

/** Creates the record without any tries. */
export function createTries(): Tries {
  /** In the order of their first tries. */
  const tries = new Map<string, Try>()

  function evict(now: number): void {
    for (const [key, { firstAt }] of tries) {
      if (tries.size < MAX_TRIES && now - firstAt < TRY_TTL_MS) return
      tries.delete(key)
    }
  }

  return {
    get(key, now) {
      evict(now)
      const known = tries.get(key)
      if (known) return known
      const first = { firstAt: now, isReturning: false, writing: 0, isWritten: false }
      tries.set(key, first)
      return first
    },
    forget: (key) => void tries.delete(key),
  }
}
