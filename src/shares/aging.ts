/**
 * Picks jobs that have waited long for a start out of their turn, so that none waits for ever behind
 * others that are always more urgent. Queues and organisations take turns.
 */

/** Time without a running task from which a job may be picked, in ms. */
const AGED_AFTER_MS = 5000
/** Time between two looks for such a job, in ms: the others lose one start a second at most. */
const LOOK_INTERVAL_MS = 1000

/** A job that may be picked. */
export interface IdleJob<T> {
  job: T
  queue: string
  organisation: string | undefined
  /** Monotonic time since which no task of it runs, in ms; undefined if one does. */
  idleSince: number | undefined
}

/** Picks jobs that have waited long. */
export interface Aging {
  /**
   * Returns the job that is due, if any: of the queue and organisation that was picked least
   * recently the one that was picked least recently itself, then the one that is idle longest: no
   * target may ever have room for a job, and it must not keep the others from their turn. It stays due until the next pick, as no target may have
   * room for it at once; the caller passes over it once one of its tasks is started.
   * Iterates only if a look is due.
   */
  pick<T>(jobs: Iterable<IdleJob<T>>, now: number): T | undefined
}

const keyOf = ({ queue, organisation }: IdleJob<unknown>): string =>
  JSON.stringify([queue, organisation])

/** Creates the picks of one service. */
export function createAging(): Aging {
  const pickedAt = new Map<string, number>()
  /** Time of the last pick of each job. */
  const jobPickedAt = new Map<unknown, number>()
  let lookedAt = -Infinity
  let picked: unknown

  const lastPickOf = ({ job }: IdleJob<unknown>): number =>
    jobPickedAt.get(job) ?? -Infinity

  /** Compares two jobs that are idle; negative if the first one is due first. */
  function compareTurns(a: IdleJob<unknown>, b: IdleJob<unknown>): number {
    const [pickedA, pickedB] = [lastPickOf(a), lastPickOf(b)]
    if (pickedA !== pickedB) return pickedA - pickedB
    return (a.idleSince ?? Infinity) - (b.idleSince ?? Infinity)
  }

  return {
    pick<T>(jobs: Iterable<IdleJob<T>>, now: number): T | undefined {
      if (now - lookedAt < LOOK_INTERVAL_MS) return picked as T | undefined
      lookedAt = now
      picked = undefined
      const nextByKey = new Map<string, IdleJob<T>>()
      const idle = new Set<T>()
      for (const each of jobs) {
        const { idleSince } = each
        if (idleSince === undefined || now - idleSince < AGED_AFTER_MS) continue
        idle.add(each.job)
        const key = keyOf(each)
        const known = nextByKey.get(key)
        if (known === undefined || compareTurns(each, known) < 0) nextByKey.set(key, each)
      }
      for (const job of jobPickedAt.keys())
        if (!idle.has(job as T)) jobPickedAt.delete(job)
      for (const key of pickedAt.keys()) if (!nextByKey.has(key)) pickedAt.delete(key)
      let next: string | undefined
      for (const key of nextByKey.keys()) {
        const at = pickedAt.get(key) ?? -Infinity
        if (next === undefined || at < (pickedAt.get(next) ?? -Infinity)) next = key
      }
      if (next === undefined) return undefined
      pickedAt.set(next, now)
      const found = nextByKey.get(next)?.job
      picked = found
      if (found !== undefined) jobPickedAt.set(found, now)
      return found
    },
  }
}
