/**
 * Rows of jobs that are over. A job's row is moved out of the intake soon after its outcome
 * is durable, so that a takeover reads what is open and not what has been; what is left of
 * it is removed when callers do not ask for it any more.
 */
import {
  ENDED_TABLE,
  cancelKey,
  decodeEnded,
  encodeEnded,
  endedKey,
  intakeKey,
  progressKey,
} from '../jobs/index.js'
import type { EndedJob, Job, JobBook } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { RowKey, RowStore } from '../ports/index.js'
import {
  createStopController,
  createUnreadRows,
  describeError,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger, PlatformError } from '../shared/index.js'
import {
  FINISHED_PER_WRITE,
  FINISHED_STEP_MS,
  FINISHED_WAIT_MS,
  KEEP_FINISHED_MS,
  MOVES_PER_WRITE,
  REMOVALS_PER_WRITE,
} from './constants.js'

/** Takes care of the rows of finished jobs until it is stopped. */
export interface FinishedJobs {
  /** The job's outcome is durable. */
  add(job: Job): void
  /** Progress rows of jobs that the intake does not have any more. */
  addOrphanedProgress(ids: string[]): void
  stop(): Promise<void>
}

/** What it works with. */
export interface FinishedJobsOptions {
  store: RowStore
  service: string
  authority: Authority
  book: JobBook
  log: Logger
}

/** Something that waits until enough of its kind can share a write. */
interface Queued<T> {
  item: T
  since: number
}

const isOutdated = (endedAtMs: number): boolean =>
  Date.now() - endedAtMs > KEEP_FINISHED_MS

/** Whether a write is worth while: there is enough for it, or some has waited for long. */
function isDue(group: Queued<unknown>[]): boolean {
  const [oldest] = group
  if (oldest === undefined) return false
  return (
    group.length >= FINISHED_PER_WRITE || monotonicMs() - oldest.since > FINISHED_WAIT_MS
  )
}

/** A job that is over, with the row that is kept of it. */
interface FinishedJob {
  id: string
  queue: string
  ended: EndedJob
}

/** Undefined while the outcome is not durable. */
function finishedOf({ spec, durableOutcome, endedAtMs }: Job): FinishedJob | undefined {
  if (!durableOutcome) return undefined
  const { id, queue, service, steps, acceptedAtMs } = spec
  const tasks = steps.reduce((sum, { count }) => sum + count, 0)
  // A predecessor's row may not say when the job ended: it is then kept from now on.
  const times = { acceptedAtMs, endedAtMs: endedAtMs ?? Date.now() }
  return {
    id,
    queue,
    ended: { queue, service, outcome: durableOutcome, tasks, ...times },
  }
}

/** Starts looking after finished jobs. */
export function createFinishedJobs(opts: FinishedJobsOptions): FinishedJobs {
  const { store, service, authority, book, log } = opts
  const stopping = createStopController()
  const startedAt = monotonicMs()
  const unreadableRows = createUnreadRows(log, ENDED_TABLE)
  /** Jobs whose rows are still in the intake, by part of the store. */
  const pendingMoves = new Map<string, Queued<FinishedJob>[]>()
  /** Jobs whose progress rows are not needed any more. */
  let pendingRemovals: Queued<string>[] = []
  /** Jobs of this owner whose rows have moved, the first to end first. */
  const moved: FinishedJob[] = []
  /** Parts in which predecessors may have left rows; undefined before they are listed. */
  let inheritedParts: string[] | undefined

  /** What could not be done is tried again at a later step. */
  const logFailure = (error: PlatformError): void =>
    log.event('rowsNotCleared', { service, reason: describeError(error) })

  /**
   * Makes a change that is right whoever makes it, and at any time: the jobs are over. False
   * when it was not made, or is not known to be.
   */
  async function commit(
    puts: (RowKey & { value: string })[],
    removals: RowKey[],
    conditions = [] as ReturnType<Authority['epoch']>[],
  ): Promise<boolean> {
    const res = await store.commit({ conditions, puts, removals })
    if (res.isErr()) logFailure(res.error)
    return res.isOk() && res.value.committed
  }

  /** Moves the rows of the part in which most wait. */
  async function moveBatch(): Promise<void> {
    const due = [...pendingMoves].filter(([, group]) => isDue(group))
    const fullest = due.sort(([, a], [, b]) => b.length - a.length)[0]
    if (!fullest) return
    const [part, group] = fullest
    const jobs = group.slice(0, MOVES_PER_WRITE).map(({ item }) => item)
    const puts = jobs.map(({ queue, id, ended }) => ({
      ...endedKey(queue, id),
      value: encodeEnded(ended),
    }))
    const removals = jobs.flatMap(({ queue, id }) => [
      intakeKey(queue, id),
      cancelKey(queue, id),
    ])
    if (!(await commit(puts, removals))) return
    group.splice(0, jobs.length)
    if (group.length === 0) pendingMoves.delete(part)
    moved.push(...jobs)
    const since = monotonicMs()
    pendingRemovals.push(...jobs.map(({ id }) => ({ item: id, since })))
  }

  /**
   * Removes progress rows, never before the job has left the intake: without its progress
   * a successor would take the job for one that has not begun.
   */
  async function removeProgressBatch(): Promise<void> {
    if (!isDue(pendingRemovals)) return
    const batch = pendingRemovals.slice(0, REMOVALS_PER_WRITE)
    const removals = batch.map(({ item }) => progressKey(service, item))
    const done = await commit([], removals, [authority.epoch()])
    if (done) pendingRemovals = pendingRemovals.slice(batch.length)
  }

  /** Forgets the first job that nobody asks for any more. */
  async function removeOldest(): Promise<void> {
    const [oldest] = moved
    if (!oldest || !isOutdated(oldest.ended.endedAtMs)) return
    const { queue, id } = oldest
    if (!(await commit([], [endedKey(queue, id)]))) return
    moved.shift()
    book.remove(id)
  }

  /** Clears what predecessors have left, a part at a time, once all of it is outdated. */
  async function removeInherited(): Promise<void> {
    if (monotonicMs() - startedAt < KEEP_FINISHED_MS) return
    if (!inheritedParts) {
      const parts = await store.parts(ENDED_TABLE)
      if (parts.isErr()) return logFailure(parts.error)
      inheritedParts = parts.value
    }
    const part = inheritedParts[0]
    if (part === undefined) return
    const rows = await store.read(ENDED_TABLE, part)
    if (rows.isErr()) return logFailure(rows.error)
    const outdated = rows.value.rows.filter(({ key, value }) => {
      const ended = decodeEnded(value)
      // Its age is not known: a caller may still ask, and is not told that there is no job.
      if (!ended) unreadableRows.note(key, 'it stays until it is removed by hand')
      return ended !== undefined && isOutdated(ended.endedAtMs)
    })
    const batch = outdated.slice(0, REMOVALS_PER_WRITE)
    if (batch.length > 0 && !(await commit([], batch))) return
    if (batch.length === outdated.length) inheritedParts.shift()
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await sleep(FINISHED_STEP_MS, stopping.signal)
      if (stopping.signal.aborted || !authority.isConfirmed()) continue
      await moveBatch()
      await removeProgressBatch()
      await removeOldest()
      await removeInherited()
    }
  }
  const task = run()

  return {
    add(job) {
      const finished = finishedOf(job)
      if (!finished) return
      const { part } = intakeKey(finished.queue, finished.id)
      const group = pendingMoves.get(part) ?? []
      group.push({ item: finished, since: monotonicMs() })
      pendingMoves.set(part, group)
    },
    addOrphanedProgress(ids) {
      const since = monotonicMs()
      pendingRemovals.push(...ids.map((item) => ({ item, since })))
    },
    async stop() {
      stopping.abort()
      await task
    },
  }
}
