/**
 * What callers may ask of jobs. A job is accepted once its row is durable; whoever owns
 * its service then runs it. "Not known" is only said on a fresh reading of the store.
 */
import type { ConfigurationHolder } from '../directory/index.js'
import {
  cancelKey,
  decodeIntake,
  decodeProgress,
  describeJobProblem,
  encodeJob,
  intakeKey,
  progressKey,
} from '../jobs/index.js'
import type { JobSpec, JobStatus } from '../jobs/index.js'
import type { Queue, RowStore } from '../ports/index.js'
import { describeError, monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { OwnerCalls } from './ownerCalls.js'

/** A configuration older than this may lack a queue that exists: half of what is allowed, in ms. */
const CONFIGURATION_STALE_MS = 1800
/** When a refused caller should come back, in ms: about one renewal of a connection. */
const RETRY_AFTER_MS = 1000

/** Outcome of a question for a queue by host and path. */
export type QueueMatch =
  | { kind: 'found'; queue: Queue; rest: string }
  | { kind: 'unknown' }
  /** No configuration, or too old a one to deny a queue. */
  | { kind: 'notReady'; retryAfterMs: number }

export type SubmitResult =
  | { kind: 'accepted' }
  | { kind: 'invalid'; reason: string }
  /** It has not been kept and never runs. */
  | { kind: 'refused'; retryAfterMs: number; reason: string }
  /** It may have been kept; the caller sends it again. */
  | { kind: 'uncertain'; reason: string }

export type Answer<T> =
  | { kind: 'ok'; value: T }
  | { kind: 'unknownJob' }
  | { kind: 'unavailable'; retryAfterMs: number; reason: string }

/** A job as a caller hands it in. */
export type NewJob = Omit<JobSpec, 'queue' | 'service' | 'acceptedAtMs'>

export interface JobService {
  match(host: string, path: string): QueueMatch
  submit(queue: Queue, job: NewJob): Promise<SubmitResult>
  status(queue: Queue, id: string): Promise<Answer<JobStatus>>
  cancel(queue: Queue, id: string): Promise<Answer<undefined>>
  waiting(queue: Queue): Promise<Answer<number>>
}

export interface JobServiceOptions {
  store: RowStore
  configuration: ConfigurationHolder
  owners: OwnerCalls
  log: Logger
}

/** Job and request to cancel it, as the store has them. */
interface StoredJob {
  job: JobSpec
  cancelled: boolean
}

export function createJobService(opts: JobServiceOptions): JobService {
  const { store, configuration, owners, log } = opts

  const unavailable = (reason: string) => ({
    kind: 'unavailable' as const,
    retryAfterMs: RETRY_AFTER_MS,
    reason,
  })

  /** Reads a job's intake rows. */
  async function find(queue: Queue, id: string): Promise<Answer<StoredJob>> {
    const { table, part, key } = intakeKey(queue.name, id)
    const until = `${cancelKey(queue.name, id).key}\u0000`
    const rows = await store.read(table, part, { from: key, until })
    if (rows.isErr()) return unavailable(describeError(rows.error))
    const entries = rows.value.rows.map((row) => decodeIntake(row.key, row.value))
    const found = entries.find((entry) => entry.kind === 'job')
    if (!found) return { kind: 'unknownJob' }
    const cancelled = entries.some((entry) => entry.kind === 'cancel')
    return { kind: 'ok', value: { job: found.job, cancelled } }
  }

  /** The state of a job whose owner does not answer. */
  async function statusFromStore(queue: Queue, id: string): Promise<Answer<JobStatus>> {
    const found = await find(queue, id)
    if (found.kind !== 'ok') return found
    const { job, cancelled } = found.value
    const { table, part, key } = progressKey(job.service, id)
    const rows = await store.read(table, part, { from: key, until: `${key}\u0000` })
    if (rows.isErr()) return unavailable(describeError(rows.error))
    const row = rows.value.rows[0]
    const progress = row && decodeProgress(row.value)
    if (progress?.outcome) return { kind: 'ok', value: progress.outcome }
    if (cancelled) return { kind: 'ok', value: 'cancelled' }
    return { kind: 'ok', value: progress ? 'running' : 'queued' }
  }

  return {
    match(host, path) {
      const queue = configuration.match(host, path)
      if (queue)
        return { kind: 'found', queue, rest: path.slice(queue.pathPrefix.length) }
      const stale = monotonicMs() - configuration.freshAt() > CONFIGURATION_STALE_MS
      if (!configuration.current() || stale) {
        return { kind: 'notReady', retryAfterMs: RETRY_AFTER_MS }
      }
      return { kind: 'unknown' }
    },

    async submit(queue, newJob) {
      const job: JobSpec = {
        ...newJob,
        queue: queue.name,
        service: queue.service,
        acceptedAtMs: Date.now(),
      }
      const { id } = job
      const problem = describeJobProblem(job)
      if (problem !== undefined) {
        log.event('jobRefused', { job: id, queue: queue.name, reason: problem })
        return { kind: 'invalid', reason: problem }
      }
      const key = intakeKey(queue.name, id)
      const res = await store.commit({
        conditions: [{ ...key, version: 0 }],
        puts: [{ ...key, value: encodeJob(job) }],
        removals: [],
      })
      if (res.isErr()) {
        const reason = describeError(res.error)
        const { failure } = res.error
        log.event('jobRefused', { job: id, queue: queue.name, failure, reason })
        if (failure === 'unknown') return { kind: 'uncertain', reason }
        return { kind: 'refused', retryAfterMs: RETRY_AFTER_MS, reason }
      }
      const { committed } = res.value
      log.event('jobAccepted', {
        job: id,
        queue: queue.name,
        service: queue.service,
        configuration: configuration.current()?.version,
        again: !committed,
      })
      if (committed) owners.offer(job)
      return { kind: 'accepted' }
    },

    async status(queue, id) {
      const known = await owners.status(queue.service, id)
      const answer: Answer<JobStatus> = known
        ? { kind: 'ok', value: known }
        : await statusFromStore(queue, id)
      log.event('jobAnswered', { job: id, fromOwner: known !== undefined, ...answer })
      return answer
    },

    async cancel(queue, id) {
      const found = await find(queue, id)
      if (found.kind !== 'ok') return found
      const key = cancelKey(queue.name, id)
      if (!found.value.cancelled) {
        const put = { ...key, value: '{}' }
        const res = await store.commit({ conditions: [], puts: [put], removals: [] })
        if (res.isErr()) return unavailable(describeError(res.error))
        log.event('jobCancelled', { job: id, queue: queue.name })
      }
      owners.cancel(found.value.job.service, id)
      return { kind: 'ok', value: undefined }
    },

    async waiting(queue) {
      const count = await owners.waiting(queue.service, queue.name)
      if (count === undefined)
        return unavailable('the owner of the service does not answer')
      return { kind: 'ok', value: count }
    },
  }
}
