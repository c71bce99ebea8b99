/**
 * Makes the progress of jobs durable; changes that come in during a write go into the next one.
 * Each write is conditional on the owner's epoch and on the versions of the rows that it replaces,
 * so that neither a superseded owner nor a delayed write can undo progress.
 */
import type { RowStore, RowTransaction, StoredRow } from '../ports/index.js'
import { encodeProgress, progressKey } from '../jobs/index.js'
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
import { FLUSH_DELAY_MS, FLUSH_RETRY_MS, JOBS_PER_WRITE } from './constants.js'

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

/** Whether the conflicting rows already hold the values of `puts`, from an unanswered write. */
function isStored(puts: RowTransaction['puts'], current: StoredRow[]): boolean {
  const rows = indexByKey(current)
  return puts.every(
    ({ table, key, value }) => rows.get(`${table}/${key}`)?.value === value,
  )
}

/** Creates a progress writer; it writes when a job is marked. */
export function createProgressWriter(opts: ProgressWriterOptions): ProgressWriter {
  const { store, service, authority, log } = opts
  const stopping = createStopController()
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
    let next = 0
    const writeRest = async (): Promise<boolean> => {
      while (next < jobs.length) {
        const from = next
        next += JOBS_PER_WRITE
        if (!(await write(jobs.slice(from, next)))) return false
      }
      return true
    }
    const writers = Array.from({ length: MAX_CONCURRENT_WRITES }, writeRest)
    return (await Promise.all(writers)).every((isWritten) => isWritten)
  }

  /** Retries a write until it is done; false when the epoch is lost or the writer stopped. */
  async function write(jobs: Job[]): Promise<boolean> {
    for (;;) {
      const sentAt = monotonicMs()
      const outcomes = jobs.map(({ outcome }) => outcome)
      const puts = jobs.map((job) => ({
        ...progressKey(service, job.spec.id),
        value: encodeProgress(job),
      }))
      const res = await store.commit({
        conditions: [
          authority.epoch(),
          ...jobs.map((job) => ({
            ...progressKey(service, job.spec.id),
            version: job.progressVersion,
          })),
        ],
        puts,
        removals: [],
      })
      if (res.isErr()) {
        log.event('progressNotWritten', { service, reason: describeError(res.error) })
      } else if (res.value.committed) {
        for (const job of jobs) job.progressVersion = res.value.version
        settleAll(jobs, outcomes)
        return true
      } else if (!adoptVersions(jobs, res.value.current)) {
        authority.markLost('the epoch row has changed')
        return false
      } else if (isStored(puts, res.value.current)) {
        settleAll(jobs, outcomes)
        return true
      }
      if (stopping.signal.aborted) return false
      await sleepUntil(sentAt + jittered(FLUSH_RETRY_MS), stopping.signal)
    }
  }

  function settleAll(jobs: Job[], outcomes: Job['outcome'][]): void {
    for (const [index, job] of jobs.entries()) settle(job, outcomes[index])
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
  function adoptVersions(jobs: Job[], current: StoredRow[]): boolean {
    if (!authority.adoptEpoch(current)) return false
    const rows = indexByKey(current)
    for (const job of jobs) {
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
