/**
 * Remembers the jobs that callers have tried to submit on this node and that are not accepted, so
 * that a retry keeps the age of its first try.
 */

/** Time for which a try is remembered, in ms: four retries after at most 30 s each need 2 min. */
const TRY_TTL_MS = 150_000
/** Most tries that are remembered, of those that may be stored and of the others; about 1 MB each. */
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
  /** Records that the writes of a try have changed. */
  noteWrites(key: string, changed: Try): void
  /** Forgets a job that has been accepted. */
  forget(key: string): void
}

/** Creates the record without any tries. */
export function createTries(): Tries {
  /** Tries of which no request writes a row, and that do not count as stored. */
  const unstored = new Map<string, Try>()
  /** Those that may be stored, after writes of unknown outcome. */
  const maybeStored = new Map<string, Try>()
  /**
   * Those whose rows are being written. They are never evicted, as the job might be refused then;
   * there are no more than requests in progress.
   */
  const beingWritten = new Map<string, Try>()
  const maps = [unstored, maybeStored, beingWritten]

  function mapOf({ writing, isWritten }: Try): Map<string, Try> {
    if (writing > 0) return beingWritten
    return isWritten ? maybeStored : unstored
  }

  const isExpired = ({ firstAt }: Try, now: number): boolean =>
    now - firstAt >= TRY_TTL_MS

  function evict(tries: Map<string, Try>, now: number): void {
    for (const [key, each] of tries) {
      if (tries.size < MAX_TRIES && !isExpired(each, now)) return
      tries.delete(key)
    }
  }

  function find(key: string, now: number): Try | undefined {
    const written = beingWritten.get(key)
    if (written) return written
    const known = maybeStored.get(key) ?? unstored.get(key)
    return known && !isExpired(known, now) ? known : undefined
  }

  function forget(key: string): void {
    for (const tries of maps) tries.delete(key)
  }

  return {
    get(key, now) {
      const known = find(key, now)
      if (known) return known
      forget(key)
      evict(unstored, now)
      evict(maybeStored, now)
      const first = { firstAt: now, isReturning: false, writing: 0, isWritten: false }
      unstored.set(key, first)
      return first
    },
    noteWrites(key, changed) {
      forget(key)
      const tries = mapOf(changed)
      if (tries !== beingWritten) evict(tries, changed.firstAt)
      tries.set(key, changed)
    },
    forget,
  }
}
