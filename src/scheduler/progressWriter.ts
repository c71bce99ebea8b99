/**
 * Makes the progress of jobs durable; changes that come in during a write go into the next one.
 * Each write is conditional on the owner's epoch and on the versions of the rows that it replaces,
 * so that neither a superseded owner nor a delayed write can undo progress.
 */
import type { RowStore, StoredRow } from '../ports/index.js'
import { progressKey } from '../jobs/index.js'
import type { Job } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import {
  createStopController,
  describeError,
  jittered,
  monotonicMs,
  sleepUntil,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { createBatches, limitsOf } from '../storeAccess/index.js'
import { FLUSH_DELAY_MS, FLUSH_RETRY_MS } from './constants.js'
import { takeProgressWrites, withheldWrite } from './progressWrites.js'
import type { ProgressWrite } from './progressWrites.js'

/**
 * Largest number of writes under way. A busy owner reads each answer late, and all targets wait until
 * the last write is answered. More would help little: a part of the store carries its writes out one
 * after another, and refuses them once more than a second of work is waiting.
 */
const MAX_CONCURRENT_WRITES = 2

/** Holds acknowledgements back until the progress that they depend on is durable. */
export interface AckSource {
  /** Marks the progress noted so far; the returned function is called once it is durable. */
  capture(): () => void
}

/** Writes the progress of the jobs of one service. */
export interface ProgressWriter {
  /** Schedules a write of the job's progress. */
  markDirty(job: Job): void
  addSource(source: AckSource): void
  removeSource(source: AckSource): void
  /** Resolves to true once all progress so far is durable; to false after `ms` or on stop. */
  flushed(ms: number): Promise<boolean>
  stop(flushFirst: boolean): Promise<void>
}

/** Dependencies of a progress writer. */
export interface ProgressWriterOptions {
  store: RowStore
  service: string
  authority: Authority
  log: Logger
  /** Called when a job's outcome has become durable. */
  settled(job: Job): void
}

/** Indexes the rows of one part by table and key. */
const indexByKey = (rows: StoredRow[]): Map<string, StoredRow> =>
  new Map(rows.map((row) => [`${row.table}/${row.key}`, row]))

/** Whether the conflicting main rows already hold the values of the writes, from an unanswered one. */
function isStored(writes: readonly ProgressWrite[], current: StoredRow[]): boolean {
  const rows = indexByKey(current)
  return writes.every(({ puts: [main] }) => {
    if (!main) return true
    return rows.get(`${main.table}/${main.key}`)?.value === main.value
  })
}

/** What a write adds to its transaction. */
const changeOf = ({ job, puts, removals }: ProgressWrite) => ({
  conditions: [
    { ...progressKey(job.spec.service, job.spec.id), version: job.progressVersion },
  ],
  puts,
  removals,
})

/** Creates a progress writer; it writes when a job is marked. */
export function createProgressWriter(opts: ProgressWriterOptions): ProgressWriter {
  const { store, service, authority, log } = opts
  const stopping = createStopController()
  const limits = limitsOf(store)
  const batches = createBatches({
    store,
    changeOf,
    common: () => ({ conditions: [authority.epoch()] }),
  })
  const dirty = new Set<Job>()
  const sources = new Set<AckSource>()
  let waiters: ((isDurable: boolean) => void)[] = []
  let timer: NodeJS.Timeout | undefined
  let flushing: Promise<void> | undefined
  /** Whether progress was given up, as the epoch was lost: what was noted is not durable then. */
  let hasGivenUp = false

  const schedule = (): void => {
    if (flushing || timer || dirty.size === 0 || stopping.signal.aborted) return
    timer = setTimeout(() => {
      timer = undefined
      flushing = flush().finally(() => {
        flushing = undefined
        schedule()
      })
    }, FLUSH_DELAY_MS)
  }

  async function flush(): Promise<void> {
    const batch = [...dirty]
    dirty.clear()
    const acks = [...sources].map((source) => source.capture())
    const waiting = waiters
    waiters = []
    if (!(await writeAll(batch))) return void (hasGivenUp = true)
    for (const ack of acks) ack()
    for (const resolve of waiting) resolve(true)
  }

  /** Writes the progress of any number of jobs; false when it could not be written. */
  async function writeAll(jobs: Job[]): Promise<boolean> {
    const pending: ProgressWrite[] = []
    /** Jobs whose writes have to be carried out one after another. */
    const series: ProgressWrite[][] = []
    for (const job of jobs) {
      const writes = takeProgressWrites(job, limits)
      if (writes.length > 1) series.push(writes)
      else pending.push(...writes)
    }
    const writeRest = async (): Promise<boolean> => {
      for (;;) {
        const batch = batches.next(pending)
        if (batch.length === 0) break
        pending.splice(0, batch.length)
        if (!(await write(batch))) return false
      }
      for (let writes = series.pop(); writes; writes = series.pop())
        for (const each of writes) {
          // Its row must go on telling successors that its progress is not known.
          if (each.job.isWithheld) break
          if (!(await write([each]))) return false
        }
      return true
    }
    const writers = Array.from({ length: MAX_CONCURRENT_WRITES }, writeRest)
    return (await Promise.all(writers)).every((isWritten) => isWritten)
  }

  /** Repeats a transaction until it is done; false when the epoch is lost or the writer stopped. */
  async function write(writes: ProgressWrite[]): Promise<boolean> {
    for (;;) {
      const sentAt = monotonicMs()
      const changes = writes.map(changeOf)
      const res = await store.commit({
        conditions: [
          authority.epoch(),
          ...changes.flatMap(({ conditions }) => conditions),
        ],
        puts: changes.flatMap(({ puts }) => puts),
        removals: changes.flatMap(({ removals }) => removals),
      })
      if (res.isErr()) {
        log.event('progressNotWritten', { service, reason: describeError(res.error) })
        if (res.error.failure === 'rejected') return writeApart(writes)
      } else if (res.value.committed) {
        for (const { job } of writes) job.progressVersion = res.value.version
        settleAll(writes)
        return true
      } else if (!adoptVersions(writes, res.value.current)) {
        authority.markLost('the epoch row has changed')
        return false
      } else if (isStored(writes, res.value.current)) {
        settleAll(writes)
        return true
      }
      if (stopping.signal.aborted) return false
      await sleepUntil(sentAt + jittered(FLUSH_RETRY_MS), stopping.signal)
    }
  }

  /** Writes one by one what the store has refused for good together; withholds the one at fault. */
  async function writeApart(writes: ProgressWrite[]): Promise<boolean> {
    const [only] = writes
    if (writes.length === 1 && only) return withhold(only)
    for (const each of writes) if (!(await write([each]))) return false
    return true
  }

  /**
   * Gives up writing the progress of a job, so that the ends of others can be acknowledged. Its row then
   * keeps successors from starting tasks again that are done.
   */
  async function withhold({ job }: ProgressWrite): Promise<boolean> {
    if (job.isWithheld) return true
    job.isWithheld = true
    log.event('progressWithheld', { service, job: job.spec.id })
    return write([withheldWrite(job)])
  }

  function settleAll(writes: ProgressWrite[]): void {
    for (const { job, outcome } of writes) settle(job, outcome)
  }

  function settle(job: Job, outcome: Job['outcome']): void {
    if (outcome === undefined || job.durableOutcome) return
    job.durableOutcome = outcome
    opts.settled(job)
  }

  /**
   * Adopts the current row versions after a conflict, which an unanswered write of this owner
   * has caused. False when the epoch is another owner's.
   */
  function adoptVersions(writes: ProgressWrite[], current: StoredRow[]): boolean {
    if (!authority.adoptEpoch(current)) return false
    const rows = indexByKey(current)
    for (const { job } of writes) {
      const { table, key } = progressKey(service, job.spec.id)
      job.progressVersion = rows.get(`${table}/${key}`)?.version ?? 0
    }
    return true
  }

  return {
    markDirty(job) {
      dirty.add(job)
      schedule()
    },
    addSource: (source) => void sources.add(source),
    removeSource: (source) => void sources.delete(source),
    flushed(ms) {
      if (dirty.size === 0 && !flushing && !hasGivenUp) {
        // Nothing is left to write, so all progress noted so far is durable.
        for (const source of sources) source.capture()()
        return Promise.resolve(true)
      }
      return new Promise((resolve) => {
        const timeout = setTimeout(() => resolve(false), ms)
        waiters.push((isDurable) => {
          clearTimeout(timeout)
          resolve(isDurable)
        })
      })
    },
    async stop(flushFirst) {
      clearTimeout(timer)
      await flushing
      if (flushFirst && dirty.size > 0) await flush()
      stopping.abort()
      for (const resolve of waiters) resolve(false)
    },
  }
}
