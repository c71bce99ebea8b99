/** Jobs as the store has them, for callers whose owner does not answer. */
import {
  cancelKey,
  decodeIntake,
  decodeProgress,
  intakeKey,
  progressKey,
  storedStatus,
} from '../jobs/index.js'
import type { JobSpec, JobStatus } from '../jobs/index.js'
import { keyRange } from '../ports/index.js'
import type { Queue, RowStore } from '../ports/index.js'
import { describeError } from '../shared/index.js'

/** When a refused caller should come back, in ms: about one renewal of a connection. */
export const RETRY_AFTER_MS = 1000

/** An answer about a job or a queue. */
export type Answer<T> =
  | { kind: 'ok'; value: T }
  | { kind: 'unknownJob' }
  | { kind: 'unavailable'; retryAfterMs: number; reason: string }

/** Job and request to cancel it, as the store has them. */
export interface StoredJob {
  job: JobSpec
  cancelled: boolean
}

/** The answer when nothing can be said now. */
export const unavailable = (reason: string) => ({
  kind: 'unavailable' as const,
  retryAfterMs: RETRY_AFTER_MS,
  reason,
})

/** Reads a job's intake rows. */
export async function findStoredJob(
  store: RowStore,
  queue: Queue,
  id: string,
): Promise<Answer<StoredJob>> {
  const { table, part, key } = intakeKey(queue.name, id)
  const range = keyRange(key, cancelKey(queue.name, id).key)
  const rows = await store.read(table, part, range)
  if (rows.isErr()) return unavailable(describeError(rows.error))
  const entries = rows.value.rows.map((row) => decodeIntake(row.key, row.value))
  const found = entries.find((entry) => entry.kind === 'job')
  if (!found) return { kind: 'unknownJob' }
  const cancelled = entries.some((entry) => entry.kind === 'cancel')
  return { kind: 'ok', value: { job: found.job, cancelled } }
}

/** The state of a job by its rows alone. */
export async function readStoredStatus(
  store: RowStore,
  queue: Queue,
  id: string,
): Promise<Answer<JobStatus>> {
  const found = await findStoredJob(store, queue, id)
  if (found.kind !== 'ok') return found
  const { job, cancelled } = found.value
  const { table, part, key } = progressKey(job.service, id)
  const rows = await store.read(table, part, keyRange(key))
  if (rows.isErr()) return unavailable(describeError(rows.error))
  const row = rows.value.rows[0]
  const progress = row && decodeProgress(row.value)
  return { kind: 'ok', value: storedStatus(cancelled, progress) }
}
