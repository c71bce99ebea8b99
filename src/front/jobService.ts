/**
 * What callers may ask of jobs. A job is accepted once its row is durable; whoever owns
 * its service then runs it. "Not known" is only said on a fresh reading of the store.
 */
import type { ConfigurationHolder } from '../directory/index.js'
import {
  ENDED_TABLE,
  INTAKE_TABLE,
  cancelKey,
  decodeEnded,
  decodeIntake,
  describeJobProblem,
  encodeJob,
  endedKey,
  intakeKey,
} from '../jobs/index.js'
import type { JobSpec, JobStatus } from '../jobs/index.js'
import type {
  Queue,
  RowCommit,
  RowStore,
  RowTransaction,
  StoredRow,
} from '../ports/index.js'
import {
  createUnreadRows,
  describeError,
  jittered,
  monotonicMs,
  sleepUntil,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { OwnerCalls } from './ownerCalls.js'
import {
  RETRY_AFTER_MS,
  UNREADABLE,
  findStoredJob,
  readStoredStatus,
  unavailable,
} from './storedJobs.js'
import type { Answer } from './storedJobs.js'

/** A configuration older than this may lack a queue that exists: half of what is allowed, in ms. */
const CONFIGURATION_STALE_MS = 1800

/**
 * Time in which it is found out what became of a write that went unanswered, in ms. Without
 * an answer a caller may not know whether to ask again; half of the usual deadline of 3 s.
 */
const UNKNOWN_COMMIT_TIMEOUT_MS = 1500
/** Time between two such writes at least, in ms; jittered. */
const UNKNOWN_COMMIT_RETRY_MS = 100

/** Outcome of a question for a queue by host and path. */
export type QueueMatch =
  | { kind: 'found'; queue: Queue; rest: string }
  | { kind: 'unknown' }
  /** No configuration, or one that is too old or too little of it was read to deny a queue. */
  | { kind: 'notReady'; retryAfterMs: number }

/** What became of a job that a caller handed in. */
export type SubmitResult =
  | { kind: 'accepted' }
  | { kind: 'invalid'; reason: string }
  /** It has not been kept and never runs. */
  | { kind: 'refused'; retryAfterMs: number; reason: string }
  /** It may have been kept; the caller sends it again. */
  | { kind: 'uncertain'; reason: string }

/** A job as a caller hands it in. */
export type NewJob = Omit<JobSpec, 'queue' | 'service' | 'acceptedAtMs'>

/** What callers may ask. */
export interface JobService {
  match(host: string, path: string): QueueMatch
  submit(queue: Queue, job: NewJob): Promise<SubmitResult>
  status(queue: Queue, id: string): Promise<Answer<JobStatus>>
  cancel(queue: Queue, id: string): Promise<Answer<undefined>>
  waiting(queue: Queue): Promise<Answer<number>>
}

/** What the answers rest on. */
export interface JobServiceOptions {
  store: RowStore
  configuration: ConfigurationHolder
  owners: OwnerCalls
  log: Logger
}

/**
 * Version of the row that makes the job durable: written now, or by an earlier try that
 * went unanswered. Undefined when an earlier request of the caller has written it.
 */
function acceptedRowVersion(commit: RowCommit, job: JobSpec): number | undefined {
  if (commit.committed) return commit.version
  return commit.current.find(({ value }) => value === encodeJob(job))?.version
}

/** Whether a row that stood in the way of a new one says that the job is kept. */
function provesAcceptance(row: StoredRow): boolean {
  if (row.table === ENDED_TABLE) return decodeEnded(row.value) !== undefined
  return decodeIntake(row, row.value).kind === 'job'
}

/** Creates the service; it keeps nothing of its own. */
export function createJobService(opts: JobServiceOptions): JobService {
  const { store, configuration, owners, log } = opts
  const unreadRows = createUnreadRows(log, INTAKE_TABLE)

  /**
   * Whether the job is kept, by the rows that stood in the way of its own. Where none of them
   * can be read its owner may know it; otherwise the caller is to ask again.
   */
  async function isAlreadyAccepted(
    rows: StoredRow[],
    { service, id }: JobSpec,
  ): Promise<boolean> {
    if (rows.some(provesAcceptance)) return true
    unreadRows.note(id, UNREADABLE)
    return (await owners.status(service, id)) !== undefined
  }

  /** The answer, and a line when it is for want of a row that can be read. */
  function logIfUnreadable<T>(id: string, answer: Answer<T>): Answer<T> {
    const isUnread = answer.kind === 'unavailable' && answer.reason === UNREADABLE
    if (isUnread) unreadRows.note(id, UNREADABLE)
    return answer
  }

  /** Commits, again while it is not known what became of it; a repetition must do no harm. */
  async function commitUntilKnown(tx: RowTransaction) {
    const endsAt = monotonicMs() + UNKNOWN_COMMIT_TIMEOUT_MS
    let mayHaveCommitted = false
    for (;;) {
      const sentAt = monotonicMs()
      const res = await store.commit(tx)
      mayHaveCommitted ||= res.isErr() && res.error.failure === 'unknown'
      if (res.isOk() || !mayHaveCommitted || monotonicMs() >= endsAt)
        return { res, mayHaveCommitted }
      await sleepUntil(sentAt + jittered(UNKNOWN_COMMIT_RETRY_MS))
    }
  }

  /**
   * Writes a job's row. Its condition lets only one write take effect, and a refused
   * repetition shows that the job is kept.
   */
  function commitIntake(job: JobSpec) {
    const key = intakeKey(job.queue, job.id)
    const ended = endedKey(job.queue, job.id)
    return commitUntilKnown({
      conditions: [
        { ...key, version: 0 },
        { ...ended, version: 0 },
      ],
      puts: [{ ...key, value: encodeJob(job) }],
      removals: [],
    })
  }

  async function submit(queue: Queue, newJob: NewJob): Promise<SubmitResult> {
    const { name, service } = queue
    const job = { ...newJob, queue: name, service, acceptedAtMs: Date.now() }
    const { id } = job
    const problem = describeJobProblem(job)
    if (problem !== undefined) {
      log.event('jobRefused', { job: id, queue: name, reason: problem })
      return { kind: 'invalid', reason: problem }
    }
    const { res, mayHaveCommitted } = await commitIntake(job)
    if (res.isErr()) {
      const reason = describeError(res.error)
      const failure = mayHaveCommitted ? 'unknown' : res.error.failure
      log.event('jobRefused', { job: id, queue: name, failure, reason })
      owners.expect(job)
      if (failure === 'unknown') return { kind: 'uncertain', reason }
      return { kind: 'refused', retryAfterMs: RETRY_AFTER_MS, reason }
    }
    const { committed } = res.value
    const rowVersion = acceptedRowVersion(res.value, job)
    const conflictingRows = res.value.committed ? [] : res.value.current
    if (rowVersion === undefined && !(await isAlreadyAccepted(conflictingRows, job))) {
      return { kind: 'uncertain', reason: UNREADABLE }
    }
    const { version } = configuration.current() ?? {}
    const fields = { job: id, queue: name, service, configuration: version }
    log.event('jobAccepted', { ...fields, again: !committed })
    if (rowVersion !== undefined) owners.offer(job, rowVersion)
    return { kind: 'accepted' }
  }

  async function cancel(queue: Queue, id: string): Promise<Answer<undefined>> {
    for (;;) {
      const found = logIfUnreadable(id, await findStoredJob(store, queue, id))
      if (found.kind !== 'ok') return found
      const { service, cancelled, outcome, version } = found.value
      if (outcome) return { kind: 'ok', value: undefined }
      if (!cancelled) {
        const put = { ...cancelKey(queue.name, id), value: '{}' }
        const conditions = [{ ...intakeKey(queue.name, id), version }]
        const { res } = await commitUntilKnown({ conditions, puts: [put], removals: [] })
        if (res.isErr()) return unavailable(describeError(res.error))
        // The job is over by now, and its row has moved.
        if (!res.value.committed) continue
        log.event('jobCancelled', { job: id, queue: queue.name })
      }
      owners.cancel(service, id)
      return { kind: 'ok', value: undefined }
    }
  }

  return {
    match(host, path) {
      const queue = configuration.match(host, path)
      if (queue)
        return { kind: 'found', queue, rest: path.slice(queue.pathPrefix.length) }
      const current = configuration.current()
      const isStale = monotonicMs() - configuration.freshAt() > CONFIGURATION_STALE_MS
      // The queue may be among what could not be read: its callers are not told that it is none.
      if (!current || isStale || current.unread.length > 0) {
        return { kind: 'notReady', retryAfterMs: RETRY_AFTER_MS }
      }
      return { kind: 'unknown' }
    },

    submit,
    cancel,

    async status(queue, id) {
      const known = await owners.status(queue.service, id)
      const answer: Answer<JobStatus> = known
        ? { kind: 'ok', value: known }
        : logIfUnreadable(id, await readStoredStatus(store, queue, id))
      log.event('jobAnswered', { job: id, fromOwner: known !== undefined, ...answer })
      return answer
    },

    async waiting(queue) {
      const count = await owners.waiting(queue.service, queue.name)
      if (count === undefined)
        return unavailable('the owner of the service does not answer')
      return { kind: 'ok', value: count }
    },
  }
}
