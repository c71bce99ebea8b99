/** Reads jobs from the store, for callers whose owner does not answer. */
import {
  cancelKey,
  decodeEnded,
  decodeIntake,
  decodeProgress,
  endedKey,
  intakeKey,
  progressKey,
  storedStatus,
} from '../jobs/index.js'
import type { JobOutcome, JobStatus } from '../jobs/index.js'
import { keyRange } from '../ports/index.js'
import type { RowStore } from '../ports/index.js'
import { describeError, sleep } from '../shared/index.js'

/** Time after which a refused caller should retry, in ms: about one renewal of a connection. */
export const RETRY_AFTER_MS = 1000

/** Reason for withholding the state of an existing job: it may be unfinished or finished. */
export const UNREADABLE = 'the row of the job cannot be read'

/** An answer about a job or a queue. */
export type Answer<T> =
  | { kind: 'ok'; value: T }
  | { kind: 'unknownJob' }
  | { kind: 'unavailable'; retryAfterMs: number; reason: string }

/** A job according to its stored rows. */
export interface StoredJob {
  /** Queue under which it is recorded. */
  queue: string
  service: string
  organisation: string | undefined
  cancelled: boolean
  /** Version of the job's row in the intake; 0 if the job has finished. */
  version: number
  /** Outcome of the job; undefined while its row is in the intake. */
  outcome: JobOutcome | undefined
}

/**
 * Longest time for the read before a refusal, in ms. A silent store answers after seconds, and the
 * commit must still fit into a caller's usual deadline of 3 s.
 */
const REFUSAL_READ_TIMEOUT_MS = 500
/** Whether a caller may access a job. A job without an organisation has no key to protect it. */
export const mayAccess = (
  ofJob: string | undefined,
  ofCaller: string | undefined,
): boolean => ofJob === undefined || ofJob === ofCaller

/** The answer for a request that cannot be answered now. */
export const unavailable = (reason: string) => ({
  kind: 'unavailable' as const,
  retryAfterMs: RETRY_AFTER_MS,
  reason,
})

/** Reads the row of a finished job. */
async function findEndedJob(
  store: RowStore,
  queue: string,
  id: string,
): Promise<Answer<StoredJob>> {
  const { table, part, key } = endedKey(queue, id)
  const rows = await store.read(table, part, keyRange(key))
  if (rows.isErr()) return unavailable(describeError(rows.error))
  const row = rows.value.rows[0]
  if (!row) return { kind: 'unknownJob' }
  const ended = decodeEnded(row.value)
  if (!ended) return unavailable(UNREADABLE)
  const { service, organisation, outcome } = ended
  const cancelled = outcome === 'cancelled'
  const value = { queue, service, organisation, cancelled, version: 0, outcome }
  return { kind: 'ok', value }
}

/** Reports a job that the caller may not access as unknown. */
export function hideForeign(
  found: Answer<StoredJob>,
  caller: string | undefined,
): Answer<StoredJob> {
  const isForeign = found.kind === 'ok' && !mayAccess(found.value.organisation, caller)
  return isForeign ? { kind: 'unknownJob' } : found
}

/**
 * Reads a job that the caller may access; any other one is reported as unknown.
 * @param queues names under which the job may be recorded
 */
export async function findStoredJob(
  store: RowStore,
  queues: readonly string[],
  id: string,
  caller: string | undefined,
): Promise<Answer<StoredJob>> {
  return hideForeign(await findAnyStoredJob(store, queues, id), caller)
}

/** Reads a job that may be recorded under one of several names; the first one found counts. */
async function findAnyStoredJob(
  store: RowStore,
  queues: readonly string[],
  id: string,
): Promise<Answer<StoredJob>> {
  for (const queue of queues) {
    const found = await findJobOfQueue(store, queue, id)
    if (found.kind !== 'unknownJob') return found
  }
  return { kind: 'unknownJob' }
}

/** Reads a job's row from the intake or, if the job has finished, from the ended table. */
async function findJobOfQueue(
  store: RowStore,
  queue: string,
  id: string,
): Promise<Answer<StoredJob>> {
  const { table, part, key } = intakeKey(queue, id)
  const cancel = cancelKey(queue, id)
  const range = keyRange(key, cancel.key)
  const rows = await store.read(table, part, range)
  if (rows.isErr()) return unavailable(describeError(rows.error))
  const row = rows.value.rows.find((each) => each.key === key)
  if (!row) return findEndedJob(store, queue, id)
  const entry = decodeIntake(row, row.value)
  if (entry.kind !== 'job') {
    // Another writer may have added the unreadable row after the job had moved to the ended table.
    const ended = await findEndedJob(store, queue, id)
    return ended.kind === 'unknownJob' ? unavailable(UNREADABLE) : ended
  }
  const cancelled = rows.value.rows.some((each) => each.key === cancel.key)
  const { version } = row
  const { service, organisation } = entry.job
  const value = {
    queue,
    service,
    organisation,
    cancelled,
    version,
    outcome: undefined,
  }
  return { kind: 'ok', value }
}

/** Reads the stored job of a request; further calls return the first answer. */
export type StoredLookup = () => Promise<Answer<StoredJob>>

/** Creates the lookup of a new job before it is refused; unavailable if the store is silent. */
export function createStoredLookup(
  store: RowStore,
  queues: readonly string[],
  id: string,
): StoredLookup {
  async function find(): Promise<Answer<StoredJob>> {
    const ended = new AbortController()
    const { signal } = ended
    const silence = sleep(REFUSAL_READ_TIMEOUT_MS, signal).then(() =>
      unavailable('the store does not answer in time'),
    )
    try {
      return await Promise.race([findAnyStoredJob(store, queues, id), silence])
    } finally {
      ended.abort()
    }
  }
  let answer: Promise<Answer<StoredJob>> | undefined
  return () => (answer ??= find())
}

/** State of a stored job derived from its rows alone. */
export async function readStoredStatus(
  store: RowStore,
  { service, cancelled, outcome }: StoredJob,
  id: string,
): Promise<Answer<JobStatus>> {
  if (outcome) return { kind: 'ok', value: outcome }
  const { table, part, key } = progressKey(service, id)
  const rows = await store.read(table, part, keyRange(key))
  if (rows.isErr()) return unavailable(describeError(rows.error))
  const row = rows.value.rows[0]
  const progress = row && decodeProgress(row.value)
  // An unreadable row may hold an outcome, which no answer may contradict.
  if (row && !progress) return unavailable(UNREADABLE)
  return { kind: 'ok', value: storedStatus(cancelled, progress) }
}
