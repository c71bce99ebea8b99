/**
 * Restores job rows that another writer has made unreadable. The owner knows the contents of
 * such a row, because job rows never change; a successor could not admit the job without it.
 */
import { decodeIntake, encodeJob, intakeKey } from '../jobs/index.js'
import type { Job, JobBook } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { keyRange } from '../ports/index.js'
import type { RowStore } from '../ports/index.js'
import { createStopController, describeError, jittered, sleep } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { FLUSH_RETRY_MS } from './constants.js'

/** Restores rows of the intake until stopped. */
export interface RowRestorer {
  /** Schedules the repair of a job's unreadable row; does nothing if the job is not known. */
  restore(id: string): void
  stop(): Promise<void>
}

/** Dependencies of the row restorer. */
export interface RowRestorerOptions {
  store: RowStore
  authority: Authority
  book: JobBook
  log: Logger
}

/** Starts with nothing to restore. */
export function createRowRestorer(opts: RowRestorerOptions): RowRestorer {
  const { store, authority, book, log } = opts
  const stopping = createStopController()
  const unreadable = new Set<string>()
  let running: Promise<void> | undefined

  /** Overwrites the row only while it is unreadable; true when nothing is left to do. */
  async function restoreRow({ spec }: Job): Promise<boolean> {
    const key = intakeKey(spec.queue, spec.id)
    const found = await store.read(key.table, key.part, keyRange(key.key))
    if (found.isErr()) return false
    const row = found.value.rows[0]
    // A finished job has no row in the intake.
    if (!row || decodeIntake(row, row.value).kind === 'job') return true
    const res = await store.commit({
      conditions: [{ ...key, version: row.version }],
      puts: [{ ...key, value: encodeJob(spec) }],
      removals: [],
    })
    if (res.isErr()) {
      const reason = describeError(res.error)
      log.event('progressNotWritten', { service: spec.service, reason })
      return false
    }
    if (res.value.committed) log.event('rowRestored', { table: key.table, key: key.key })
    return res.value.committed
  }

  async function run(): Promise<void> {
    while (unreadable.size > 0 && !stopping.signal.aborted && !authority.isLost()) {
      for (const id of [...unreadable]) {
        const job = book.jobs.get(id)
        if (!job || (await restoreRow(job))) unreadable.delete(id)
      }
      await sleep(jittered(FLUSH_RETRY_MS), stopping.signal)
    }
    running = undefined
  }

  return {
    restore(id) {
      if (!book.jobs.has(id)) return
      unreadable.add(id)
      running ??= run()
    },
    async stop() {
      stopping.abort()
      await running
    },
  }
}
