/** Removes the rows of jobs whose outcome has been kept long enough. */
import { cancelKey, intakeKey, progressKey } from '../jobs/index.js'
import type { Job, JobBook } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import type { RowStore } from '../ports/index.js'
import { describeError } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { KEEP_FINISHED_MS } from './constants.js'

/** What the clearing of finished jobs works with. */
export interface FinishedJobsOptions {
  store: RowStore
  service: string
  authority: Authority
  book: JobBook
  log: Logger
}

/** Removes one job that is over for long enough, if there is one; rows first, then the book. */
export async function clearFinishedJob(opts: FinishedJobsOptions): Promise<void> {
  const { store, service, authority, book, log } = opts
  const old = [...book.jobs.values()].find(isOutdated)
  if (!old || !authority.isConfirmed()) return
  const { id, queue } = old.spec
  // The intake first: without it nobody takes the job for one that has not begun.
  for (const removals of [
    [intakeKey(queue, id), cancelKey(queue, id)],
    [progressKey(service, id)],
  ]) {
    const conditions = removals.length === 1 ? [authority.epoch()] : []
    const res = await store.commit({ conditions, puts: [], removals })
    if (res.isErr())
      return log.event('rowsNotCleared', { job: id, reason: describeError(res.error) })
  }
  book.remove(id)
}

function isOutdated(job: Job): boolean {
  const endedAt = job.durableOutcome ? job.endedAtMs : undefined
  return endedAt !== undefined && Date.now() - endedAt > KEEP_FINISHED_MS
}
