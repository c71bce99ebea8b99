/**
 * Leaves jobs in the store for which the node has no memory, and takes them as others end. A job
 * that has begun is taken sooner, because its runs hold up the lists of ends of their targets.
 */
import { cancelKey, decodeIntake, intakeKey, openJobBytes } from '../jobs/index.js'
import type { JobBook, JobMemory, JobSpec } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { keyRange } from '../ports/index.js'
import type { RowStore, StoredRow } from '../ports/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { readProgressOf } from './storedProgress.js'
import type { ProgressRows, StoredProgress } from './storedProgress.js'

/**
 * Part of the limit by which jobs that have begun may exceed it. Their predecessors held them within
 * limits of their own, and several services may come to one node.
 */
const BEGUN_EXCESS = 0.5
/** Interval between checks for memory, in ms; jittered. */
const CHECK_INTERVAL_MS = 100
/** Most jobs that are read from the store at once. */
const MAX_READS = 8
/** Time for which jobs are left in the store before another node should own the service, in ms. */
const LACKING_MS = 3000
/** Priority of jobs whose settings are not known. */
const LOWEST_PRIORITY = 1000

/** A job that is left in the store. */
interface LeftJob {
  id: string
  queue: string
  bytes: number
  /** Jobs of lower ranks are taken first. */
  rank: number
  hasBegun: boolean
  repeats: boolean
}

/** Rank of jobs that are taken whether or not there is memory for them. */
const NEEDED_RANK = -Infinity
/** Rank of jobs that have begun; that of others is their priority. */
const BEGUN_RANK = -Number.MAX_VALUE

/** The jobs of one service that are left in the store. */
export interface LeftJobs {
  /** Whether there is no memory for a job now, or others that need it have come before. */
  mustLeave(job: JobSpec, hasBegun: boolean): boolean
  /** Leaves a job in the store until there is memory for it. */
  leave(job: JobSpec, hasBegun: boolean): void
  /** Has a job read at once, as a target has reported it, or as its caller cancels it. */
  need(id: string): void
  /** Forgets a job whose row has been removed. */
  drop(id: string): void
  /** Number of jobs of the queue that have not begun; repeating jobs are not counted. */
  count(queue: string): number
  /** Whether jobs have been left for so long that another node should own the service. */
  lacksMemory(): boolean
  stop(): Promise<void>
}

/** A job as its rows hold it. */
export interface StoredJobState {
  spec: JobSpec
  isCancelled: boolean
  progress: StoredProgress | undefined
}

/** Dependencies of the handling of jobs that are left in the store. */
export interface LeftJobsOptions {
  store: RowStore
  service: string
  authority: Authority
  book: JobBook
  memory: JobMemory
  log: Logger
  /** Whether the row of the queue is durable, so that its jobs may be started. */
  mayTake(queue: string): boolean
  /** Takes a job that has been read; `undefined` progress if it has none. */
  take(job: StoredJobState): void
  /** Holds a job of which a row cannot be read. */
  hold(id: string, spec: JobSpec | undefined): void
}

/** Starts without jobs. */
export function createLeftJobs(opts: LeftJobsOptions): LeftJobs {
  const { store, service, authority, book, memory, log } = opts
  const stopping = createStopController()
  const left = new Map<string, LeftJob>()
  /** The same by rank, in the order in which they were left. */
  const byRank = new Map<number, Set<LeftJob>>()
  /** Monotonic time since which jobs are left, in ms. */
  let lackingSince = Infinity

  /** Memory that a job may take now. */
  const freeFor = (hasBegun: boolean): number =>
    memory.free() + (hasBegun ? memory.limit * BEGUN_EXCESS : 0)

  function addToRank(job: LeftJob): void {
    const jobs = byRank.get(job.rank)
    if (jobs) jobs.add(job)
    else byRank.set(job.rank, new Set([job]))
  }

  function removeFromRank(job: LeftJob): void {
    const jobs = byRank.get(job.rank)
    jobs?.delete(job)
    if (jobs?.size === 0) byRank.delete(job.rank)
  }

  function* inOrder(): Generator<LeftJob> {
    for (const rank of [...byRank.keys()].sort((a, b) => a - b))
      yield* byRank.get(rank) ?? []
  }

  function forget(id: string): void {
    const job = left.get(id)
    if (!job) return
    if (job.bytes <= memory.limit) memory.changeAwaited(-job.bytes)
    left.delete(id)
    removeFromRank(job)
    if (left.size === 0) lackingSince = Infinity
  }

  /**
   * The next jobs to be taken: needed ones, then those that have begun, then by priority, and in the order
   * in which they were left. One that does not fit holds up those after it, unless it never can.
   */
  function next(): LeftJob[] {
    const chosen: LeftJob[] = []
    let bytes = 0
    for (const job of inOrder()) {
      if (chosen.length === MAX_READS) break
      if (job.rank !== NEEDED_RANK) {
        if (job.bytes > memory.limit || !opts.mayTake(job.queue)) continue
        if (bytes + job.bytes > freeFor(job.hasBegun)) break
      }
      bytes += job.bytes
      chosen.push(job)
    }
    return chosen
  }

  /** Reads the rows of a job and takes it; false if they could not be read. */
  async function takeOne({ id, queue }: LeftJob): Promise<boolean> {
    const key = intakeKey(queue, id)
    const range = keyRange(key.key, cancelKey(queue, id).key)
    const [intake, progress] = await Promise.all([
      store.read(key.table, key.part, range),
      readProgressOf(store, service, id),
    ])
    if (intake.isErr()) return noteFailure(describeError(intake.error))
    if (progress.isErr()) return noteFailure(describeError(progress.error))
    if (left.has(id)) {
      forget(id)
      handleRows(id, intake.value.rows, progress.value)
    }
    return true
  }

  /** Takes a job by its rows; forgets one that has left the intake, and holds one that cannot be read. */
  function handleRows(
    id: string,
    rows: readonly StoredRow[],
    progress: ProgressRows | undefined,
  ): void {
    const row = rows.find(({ key }) => key === id)
    if (!row) return void book.releaseEnds(id)
    const entry = decodeIntake(row, row.value)
    const spec = entry.kind === 'job' ? entry.job : undefined
    if (!spec || (progress && !progress.stored)) return opts.hold(id, spec)
    const isCancelled = rows.some(({ key }) => key !== id)
    opts.take({ spec, isCancelled, progress: progress?.stored })
  }

  function noteFailure(reason: string): false {
    log.event('leftJobsNotRead', { service, jobs: left.size, reason })
    return false
  }

  async function takeWhatFits(): Promise<void> {
    for (let jobs = next(); jobs.length > 0; jobs = next()) {
      const taken = await Promise.all(jobs.map(takeOne))
      if (stopping.signal.aborted || !taken.every((isTaken) => isTaken)) return
    }
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await sleep(jittered(CHECK_INTERVAL_MS), stopping.signal)
      if (stopping.signal.aborted || left.size === 0) continue
      if (authority.isConfirmed()) await takeWhatFits()
    }
  }
  const task = run()

  return {
    mustLeave(job, hasBegun) {
      const bytes = openJobBytes(job)
      // New jobs come after those that were left before.
      return bytes > (hasBegun ? freeFor(true) : memory.available())
    },
    leave(job, hasBegun) {
      const { id, queue, settings, repetitions } = job
      if (left.size === 0) {
        lackingSince = monotonicMs()
        log.event('jobsLeft', { service, job: id, freeBytes: Math.round(memory.free()) })
      }
      const bytes = openJobBytes(job)
      if (bytes > memory.limit) {
        const reason = `takes ${bytes} bytes, ${memory.limit} are allowed`
        log.event('jobBeyondMemory', { service, job: id, reason })
      }
      const rank = hasBegun ? BEGUN_RANK : (settings?.priority ?? LOWEST_PRIORITY)
      const entry = { id, queue, bytes, rank, hasBegun, repeats: repetitions > 0 }
      left.set(id, entry)
      addToRank(entry)
      if (bytes <= memory.limit) memory.changeAwaited(bytes)
      book.leave(id)
    },
    need(id) {
      const job = left.get(id)
      if (!job) return
      removeFromRank(job)
      job.rank = NEEDED_RANK
      addToRank(job)
    },
    drop(id) {
      if (!left.has(id)) return
      forget(id)
      book.releaseEnds(id)
    },
    count(queue) {
      let count = 0
      for (const job of left.values())
        if (job.queue === queue && !job.hasBegun && !job.repeats) count++
      return count
    },
    lacksMemory: () => monotonicMs() - lackingSince > LACKING_MS,
    async stop() {
      stopping.abort()
      await task
      for (const id of [...left.keys()]) forget(id)
    },
  }
}
