/**
 * Moves and removes the rows of finished jobs. A job's row leaves the intake soon after its
 * outcome is durable, so that a takeover reads open jobs only. The row kept for callers is
 * removed after the retention period.
 */
import {
  ENDED_TABLE,
  cancelKey,
  decodeEnded,
  encodeEnded,
  endedKey,
  intakeKey,
  progressKey,
  progressPartKey,
} from '../jobs/index.js'
import type { EndedJob, Job, JobBook, JobMemory } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { RowKey, RowStore, RowTransaction } from '../ports/index.js'
import {
  createStopController,
  createInvalidRows,
  describeError,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger, PlatformError } from '../shared/index.js'
import { createBatches } from '../storeAccess/index.js'
import {
  MIN_FINISHED_PER_WRITE,
  FINISHED_CHECK_INTERVAL_MS,
  MAX_FINISHED_WAIT_MS,
  FINISHED_RETENTION_MS,
} from './constants.js'

/** Moves and removes rows of finished jobs until stopped. */
export interface FinishedJobs {
  /** Adds a job whose outcome is durable. */
  add(job: Job): void
  /** Adds progress rows whose jobs are no longer in the intake. */
  addOrphanedProgress(keys: RowKey[]): void
  stop(): Promise<void>
}

/** Dependencies of the handling of finished jobs. */
export interface FinishedJobsOptions {
  store: RowStore
  service: string
  authority: Authority
  book: JobBook
  memory: JobMemory
  log: Logger
}

/** Part of the memory for jobs that is to be free of finished ones. */
const SCARCE_SHARE = 0.25

/** An item queued for a batched write. */
interface Queued<T> {
  item: T
  since: number
}

const isOutdated = (endedAtMs: number): boolean =>
  Date.now() - endedAtMs > FINISHED_RETENTION_MS

/** Whether a group is large enough to write, or its oldest item has waited long enough. */
function isDue(group: Queued<unknown>[]): boolean {
  const [oldest] = group
  if (oldest === undefined) return false
  return (
    group.length >= MIN_FINISHED_PER_WRITE ||
    monotonicMs() - oldest.since > MAX_FINISHED_WAIT_MS
  )
}

/** A finished job, with the row that is kept for callers. */
interface FinishedJob {
  id: string
  queue: string
  ended: EndedJob
  progressKeys: RowKey[]
}

/** Undefined while the job's outcome is not durable. */
function finishedOf({
  spec,
  durableOutcome,
  endedAtMs,
  layout,
}: Job): FinishedJob | undefined {
  if (!durableOutcome) return undefined
  const { id, queue, service, organisation, steps, acceptedAtMs } = spec
  const tasks = steps.reduce((sum, { count }) => sum + count, 0)
  // A predecessor's row may lack the end time; the retention period then starts now.
  const times = { acceptedAtMs, endedAtMs: endedAtMs ?? Date.now() }
  const parts = [...(layout?.keys.values() ?? [])].flat()
  return {
    id,
    queue,
    progressKeys: [
      ...parts.map((end) => progressPartKey(service, id, end)),
      progressKey(service, id),
    ],
    ended: { queue, service, organisation, outcome: durableOutcome, tasks, ...times },
  }
}

/** Starts moving and removing rows of finished jobs. */
export function createFinishedJobs(opts: FinishedJobsOptions): FinishedJobs {
  const { store, service, authority, book, memory, log } = opts
  const stopping = createStopController()
  const startedAt = monotonicMs()
  const unreadableRows = createInvalidRows(log, ENDED_TABLE)
  /** Jobs whose rows are still in the intake, by part of the table. */
  const pendingMoves = new Map<string, Queued<FinishedJob>[]>()
  /** Rows of progress that are no longer needed. */
  let pendingRemovals: Queued<RowKey>[] = []
  /** Jobs of this owner whose rows have been moved, in order of their end. */
  const moved: FinishedJob[] = []
  /** Ids of those that are still in the job book, to answer callers without a read of the store. */
  let inBook: string[] = []
  /** Parts in which predecessors may have left rows; undefined until listed. */
  let inheritedParts: string[] | undefined

  /** Logs a failure; a later step retries the operation. */
  const logFailure = (error: PlatformError): void =>
    log.event('rowsNotCleared', { service, reason: describeError(error) })

  /**
   * Commits a change that is valid at any time and from any owner, since the jobs have ended.
   * False when the change was not committed, or its result is unknown.
   * @param rejected called if the store can never take the change
   */
  async function commit(
    { conditions = [], puts = [], removals = [] }: Partial<RowTransaction>,
    rejected: () => void = () => undefined,
  ): Promise<boolean> {
    const res = await store.commit({ conditions, puts, removals })
    if (res.isErr()) {
      logFailure(res.error)
      if (res.error.failure === 'rejected') rejected()
    }
    return res.isOk() && res.value.committed
  }

  const moveOf = ({ queue, id, ended }: FinishedJob) => ({
    puts: [{ ...endedKey(queue, id), value: encodeEnded(ended) }],
    removals: [intakeKey(queue, id), cancelKey(queue, id)],
  })
  const moves = createBatches({ store, changeOf: moveOf })
  const removalOf = (key: RowKey) => ({ removals: [key] })
  const progressRemovals = createBatches<Queued<RowKey>>({
    store,
    changeOf: ({ item }) => removalOf(item),
    common: () => ({ conditions: [authority.epoch()] }),
  })
  const endedRemovals = createBatches({ store, changeOf: removalOf })

  /** Moves rows of the part in which the most jobs are waiting. */
  async function moveBatch(): Promise<void> {
    const due = [...pendingMoves].filter(([, group]) => isDue(group))
    const fullest = due.sort(([, a], [, b]) => b.length - a.length)[0]
    if (!fullest) return
    const [part, group] = fullest
    const jobs = moves.next(group.map(({ item }) => item))
    const changes = jobs.map(moveOf)
    const tx = {
      puts: changes.flatMap(({ puts }) => puts),
      removals: changes.flatMap(({ removals }) => removals),
    }
    const leaveOut = (): void => {
      const atFault = moves.noteRejected(jobs)
      const index = group.findIndex(({ item }) => item === atFault)
      if (index >= 0) group.splice(index, 1)
    }
    if (!(await commit(tx, leaveOut))) return
    group.splice(0, jobs.length)
    if (group.length === 0) pendingMoves.delete(part)
    moved.push(...jobs)
    inBook.push(...jobs.map(({ id }) => id))
    const since = monotonicMs()
    pendingRemovals.push(
      ...jobs.flatMap(({ progressKeys }) =>
        progressKeys.map((item) => ({ item, since })),
      ),
    )
  }

  /**
   * Removes progress rows, but only after the job has left the intake: a successor would take
   * a job in the intake without progress for one that has not begun.
   */
  async function removeProgressBatch(): Promise<void> {
    if (!isDue(pendingRemovals)) return
    const batch = progressRemovals.next(pendingRemovals)
    const removals = batch.map(({ item }) => item)
    const done = await commit({ removals, conditions: [authority.epoch()] })
    if (done) pendingRemovals = pendingRemovals.slice(batch.length)
  }

  /** Removes the oldest finished job if its retention period has passed. */
  async function removeOldest(): Promise<void> {
    const [oldest] = moved
    if (!oldest || !isOutdated(oldest.ended.endedAtMs)) return
    const { queue, id } = oldest
    if (!(await commit(removalOf(endedKey(queue, id))))) return
    moved.shift()
    if (inBook[0] === id) inBook.shift()
    book.remove(id)
  }

  /** Has the job book forget the oldest finished jobs while memory is scarce. */
  function forgetIfScarce(): void {
    let count = 0
    while (count < inBook.length && memory.available() < memory.limit * SCARCE_SHARE)
      book.forget(inBook[count++]!)
    inBook = inBook.slice(count)
  }

  /**
   * Removes outdated rows left by predecessors, one part at a time. Starts one retention period
   * after the takeover, when all of them are outdated.
   */
  async function removeInherited(): Promise<void> {
    if (monotonicMs() - startedAt < FINISHED_RETENTION_MS) return
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
      // Its age is unknown: a caller may still ask, and must not be told that no such job exists.
      if (!ended) unreadableRows.note(key, 'the row is kept until it is removed by hand')
      return ended !== undefined && isOutdated(ended.endedAtMs)
    })
    const batch = endedRemovals.next(outdated)
    if (batch.length > 0 && !(await commit({ removals: batch }))) return
    if (batch.length === outdated.length) inheritedParts.shift()
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await sleep(FINISHED_CHECK_INTERVAL_MS, stopping.signal)
      if (stopping.signal.aborted || !authority.isConfirmed()) continue
      await moveBatch()
      forgetIfScarce()
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
    addOrphanedProgress(keys) {
      const since = monotonicMs()
      pendingRemovals.push(...keys.map((item) => ({ item, since })))
    },
    async stop() {
      stopping.abort()
      await task
    },
  }
}
