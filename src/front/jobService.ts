/**
 * Requests of callers about jobs. A job is accepted once its row is durable; the owner of its
 * service then runs it. A job is reported as unknown only after a fresh read of the store.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { REFUSAL_TEXTS } from '../admission/index.js'
import type { Attempt, FrontAdmission } from '../admission/index.js'
import type { ConfigurationHolder } from '../directory/index.js'
import {
  ENDED_TABLE,
  INTAKE_TABLE,
  canWait,
  cancelKey,
  decodeEnded,
  decodeIntake,
  describeJobProblem,
  encodeJob,
  endedKey,
  intakeKey,
  openJobBytes,
  settingsOfQueue,
} from '../jobs/index.js'
import type { JobSpec, JobStatus } from '../jobs/index.js'
import type { Namespace, Namespaces } from '../namespaces/index.js'
import type {
  Queue,
  RowCommit,
  RowStore,
  RowTransaction,
  StoredRow,
} from '../ports/index.js'
import {
  createInvalidRows,
  describeError,
  jittered,
  monotonicMs,
  sleep,
  sleepUntil,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { checkCaller, configurationAgeMs, isConfigurationStale } from './callerCheck.js'
import type { CallerCheck } from './callerCheck.js'
import { createJobQueries } from './jobQueries.js'
import { createRoomWait } from './roomWait.js'
import type { OwnerCalls } from './ownerCalls.js'
import {
  RETRY_AFTER_MS,
  UNREADABLE,
  createStoredLookup,
  findStoredJob,
  hideForeign,
  mayAccess,
  unavailable,
} from './storedJobs.js'
import type { Answer, StoredLookup } from './storedJobs.js'

/**
 * Time for which a commit of unknown outcome is repeated, in ms: half of a caller's usual
 * deadline of 3 s. A caller without an answer does not know whether to send the job again.
 */
const UNKNOWN_COMMIT_TIMEOUT_MS = 1500
/**
 * Longest wait for the namespace of a new job, in ms. The commit must still fit into a caller's
 * usual deadline of 3 s.
 */
const BINDING_TIMEOUT_MS = 1000
/** Shortest time between two such commits, in ms; jittered. */
const UNKNOWN_COMMIT_RETRY_MS = 100
/**
 * Longest `Retry-After` of callers that are refused for a reason that holds for all of them, as a
 * multiple of the usual one. The times are spread, so that callers do not return at the same moment.
 */
const MAX_RETRY_FACTOR = 3

const spreadRetryMs = (): number =>
  RETRY_AFTER_MS * (1 + Math.floor(Math.random() * MAX_RETRY_FACTOR))

/** Result of looking up a queue by host and path. */
export type QueueMatch =
  | { kind: 'found'; queue: Queue; rest: string }
  | { kind: 'unknown' }
  /** There is no configuration, or it is too old or too incomplete to rule the queue out. */
  | { kind: 'notReady'; retryAfterMs: number }

/** Result of submitting a job. */
export type SubmitResult =
  | { kind: 'accepted' }
  | { kind: 'invalid'; reason: string }
  /** Another organisation has a job of this id. */
  | { kind: 'idInUse' }
  /** The job was not stored and never runs. */
  | { kind: 'refused'; retryAfterMs: number; reason: string }
  /** The job may have been stored; the caller should send it again. */
  | { kind: 'uncertain'; reason: string }

/** A job as a caller submits it. */
export type NewJob = Omit<
  JobSpec,
  'queue' | 'service' | 'settings' | 'organisation' | 'acceptedAtMs'
>

/**
 * Requests of callers. `caller` is the organisation of the caller, undefined for a caller without
 * one; jobs of other organisations are unknown to it.
 */
export interface JobService {
  match(host: string, path: string): QueueMatch
  /** Checks whether the holder of a key may use a queue; undefined if the caller has no key. */
  checkCaller(queue: Queue, key: string | undefined): CallerCheck
  submit(queue: Queue, job: NewJob, caller?: string): Promise<SubmitResult>
  status(queue: Queue, id: string, caller?: string): Promise<Answer<JobStatus>>
  cancel(queue: Queue, id: string, caller?: string): Promise<Answer<undefined>>
  waiting(queue: Queue): Promise<Answer<number>>
}

/** Dependencies of the job service. */
export interface JobServiceOptions {
  store: RowStore
  configuration: ConfigurationHolder
  owners: OwnerCalls
  namespaces: Namespaces
  /** All data halls of the deployment; undefined if they are not known. */
  halls?: readonly string[] | undefined
  /** Memory that an owner has for jobs, in bytes; without a limit by default. */
  maxJobBytes?: number
  /** Undefined where every job is admitted. */
  admission?: FrontAdmission | undefined
  log: Logger
}

/**
 * Version of the row that makes the job durable, written by this commit or by an earlier
 * attempt that was not answered. Undefined if an earlier request of the caller wrote the row.
 */
function acceptedRowVersion(commit: RowCommit, job: JobSpec): number | undefined {
  if (commit.committed) return commit.version
  return commit.current.find(({ value }) => value === encodeJob(job))?.version
}

/** The job in a row that conflicts with a new job's row; undefined if it cannot be read. */
function conflictingJob(row: StoredRow): Pick<JobSpec, 'organisation'> | undefined {
  if (row.table === ENDED_TABLE) return decodeEnded(row.value)
  const entry = decodeIntake(row, row.value)
  return entry.kind === 'job' ? entry.job : undefined
}

/** Creates the service, which holds no state of jobs. */
export function createJobService(opts: JobServiceOptions): JobService {
  const { store, configuration, owners, namespaces, admission, log } = opts
  const unreadRows = createInvalidRows(log, INTAKE_TABLE)
  const queries = createJobQueries({ store, owners, namespaces })
  const roomWait = createRoomWait()

  /** Describes why no owner can ever hold a job; undefined if one can. */
  function describeSize(job: JobSpec): string | undefined {
    const { maxJobBytes = Infinity } = opts
    const bytes = openJobBytes(job)
    if (bytes <= maxJobBytes) return undefined
    return `takes ${bytes} bytes of its owner's memory, more than the limit of ${maxJobBytes}`
  }

  /** Whether nothing can be started anywhere, because operators have cordoned every hall. */
  function areAllHallsCordoned(): boolean {
    const { halls = [] } = opts
    if (halls.length === 0) return false
    const cordons = configuration.cordons()
    return halls.every((hall) => cordons.has(hall))
  }

  /**
   * Whether a job is refused because of cordons. A job that an earlier request may have stored is
   * not: it may run, so that the refusal would be wrong.
   */
  async function isCordonedOff(job: JobSpec, findStored: StoredLookup): Promise<boolean> {
    if (!areAllHallsCordoned() || canWait(job)) return false
    const stored = hideForeign(await findStored(), job.organisation)
    return stored.kind === 'unknownJob'
  }

  /**
   * Time after which the owner of a job is expected to have memory for it, in ms; undefined if it has
   * now, or if an earlier request may have stored the job.
   */
  async function waitForRoomMs(
    job: JobSpec,
    findStored: StoredLookup,
  ): Promise<number | undefined> {
    const room = owners.jobRoom?.(job.service)
    const waitMs = room && roomWait.msFor(job, room)
    if (waitMs === undefined) return undefined
    const stored = hideForeign(await findStored(), job.organisation)
    return stored.kind === 'unknownJob' ? waitMs : undefined
  }

  /**
   * Result for a job whose id is in use according to the rows that conflict with its new row: it
   * was accepted before, or another organisation has a job of this id. If none of the rows can be
   * read, the owner is asked; if it does not know the job either, the caller must send it again.
   */
  async function resultOfConflict(
    rows: StoredRow[],
    { service, id, organisation }: JobSpec,
  ): Promise<SubmitResult> {
    let known = rows.map(conflictingJob).find((each) => each !== undefined)
    if (!known) {
      unreadRows.note(id, UNREADABLE)
      known = await owners.status(service, id)
    }
    if (!known) return { kind: 'uncertain', reason: UNREADABLE }
    const isOwn = mayAccess(known.organisation, organisation)
    return { kind: isOwn ? 'accepted' : 'idInUse' }
  }

  /** Returns the answer; logs it if it is unavailable because of an unreadable row. */
  function logIfUnreadable<T>(id: string, answer: Answer<T>): Answer<T> {
    const isUnread = answer.kind === 'unavailable' && answer.reason === UNREADABLE
    if (isUnread) unreadRows.note(id, UNREADABLE)
    return answer
  }

  /** Commits, and repeats the commit while its outcome is unknown; `tx` must be idempotent. */
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
   * Writes a job's row. The conditions let only one write take effect, so that a repetition
   * that is not committed shows that the job is stored.
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

  /**
   * Refuses the job if admission asks for it and the store certainly holds no row of it: another
   * node may have accepted an earlier try whose answer the caller has not received.
   */
  async function refuseOverload(
    queue: Queue,
    job: JobSpec,
    attempt: Attempt | undefined,
    findStored: StoredLookup,
  ): Promise<SubmitResult | undefined> {
    const { refusal } = attempt ?? {}
    if (!attempt || !refusal) return undefined
    if ((await findStored()).kind !== 'unknownJob') return undefined
    if (!attempt.confirmRefusal()) return undefined
    const { reason, retryAfterMs, inputs } = refusal
    const { id, organisation } = job
    const { name } = queue
    log.event('jobRefused', {
      job: id,
      queue: name,
      organisation,
      reason,
      retryAfterMs,
      ...inputs,
    })
    if (refusal.isFirst) owners.expect(job)
    return { kind: 'refused', retryAfterMs, reason: REFUSAL_TEXTS[reason] }
  }

  /**
   * The namespace for a new job, or why there is none. A silent store must not use up the time in
   * which the caller can send the job elsewhere. If only the service of a bound address cannot be
   * added to its binding, the job is accepted all the same, as its name is certain.
   */
  async function bindNamespace(queue: Queue): Promise<Result<Namespace, string>> {
    const ended = new AbortController()
    const silence = sleep(BINDING_TIMEOUT_MS, ended.signal).then(() =>
      err<Namespace, string>('the store does not answer in time'),
    )
    const bound = namespaces.bind(queue).then((res) => res.mapErr(describeError))
    const res = await Promise.race([bound, silence])
    ended.abort()
    const known = namespaces.known(queue)
    return res.isErr() && known ? ok(known) : res
  }

  /** Notes a refusal by the store, after which the owner expects the job again. */
  function refuseUnstored(queue: Queue, job: JobSpec, reason: string): SubmitResult {
    const { id } = job
    log.event('jobRefused', { job: id, queue: queue.name, failure: 'refused', reason })
    owners.expect(job)
    return { kind: 'refused', retryAfterMs: RETRY_AFTER_MS, reason }
  }

  /**
   * Result for a job that a node of an earlier software version recorded under the name of its
   * queue although the address has another namespace; undefined if there is none.
   */
  async function resultOfOtherName(
    queue: Queue,
    { name: namespace, names: [, ...others] }: Namespace,
    job: JobSpec,
  ): Promise<SubmitResult | undefined> {
    if (others.length === 0) return undefined
    const { id, organisation } = job
    const found = await findStoredJob(store, others, id, undefined)
    if (found.kind === 'unknownJob') return undefined
    if (found.kind === 'unavailable') return refuseUnstored(queue, job, found.reason)
    const isOwn = mayAccess(found.value.organisation, organisation)
    const kind = isOwn ? 'accepted' : 'idInUse'
    const fields = { job: id, queue: queue.name, namespace, result: kind }
    log.event('jobFoundUnderOtherName', fields)
    return { kind }
  }

  async function submit(
    queue: Queue,
    newJob: NewJob,
    caller?: string,
  ): Promise<SubmitResult> {
    const { name, service } = queue
    const organisation = queue.public ? undefined : caller
    const { version } = configuration.current() ?? {}
    const ageMs = Math.round(configurationAgeMs(configuration))
    const unboundJob: JobSpec = {
      ...newJob,
      queue: name,
      service,
      settings: settingsOfQueue(queue),
      organisation,
      acceptedAtMs: Date.now(),
    }
    const { id } = unboundJob
    const problem = describeJobProblem(unboundJob) ?? describeSize(unboundJob)
    if (problem !== undefined) {
      log.event('jobRefused', { job: id, queue: name, reason: problem })
      return { kind: 'invalid', reason: problem }
    }
    const bound = await bindNamespace(queue)
    if (bound.isErr()) return refuseUnstored(queue, unboundJob, bound.error)
    const namespace = bound.value
    const job: JobSpec = { ...unboundJob, queue: namespace.name }
    const other = await resultOfOtherName(queue, namespace, job)
    if (other) return other
    // A lookup for cordons that finds no job refuses it, so that overload never relies on an answer
    // from before the attempt.
    const findStored = createStoredLookup(store, namespace.names, id)
    if (await isCordonedOff(job, findStored)) {
      const reason = 'all data halls are cordoned'
      log.event('jobRefused', { job: id, queue: name, failure: 'refused', reason })
      return { kind: 'refused', retryAfterMs: spreadRetryMs(), reason }
    }
    const retryAfterMs = await waitForRoomMs(job, findStored)
    if (retryAfterMs !== undefined) {
      const reason = 'the owner of the service has no memory for the job now'
      const bytes = openJobBytes(job)
      log.event('jobRefused', {
        job: id,
        queue: name,
        failure: 'refused',
        reason,
        bytes,
        retryAfterMs,
      })
      return { kind: 'refused', retryAfterMs, reason }
    }
    const attempt = admission?.attempt(job, { ...queue, name: namespace.name })
    const refused = await refuseOverload(queue, job, attempt, findStored)
    if (refused) return refused
    attempt?.writing()
    const { res, mayHaveCommitted } = await commitIntake(job)
    if (res.isOk()) attempt?.written('stored')
    else attempt?.written(mayHaveCommitted ? 'unknown' : 'notStored')
    if (res.isErr()) {
      const reason = describeError(res.error)
      const failure = mayHaveCommitted ? 'unknown' : res.error.failure
      log.event('jobRefused', { job: id, queue: name, failure, reason })
      if (failure === 'rejected') return { kind: 'invalid', reason }
      owners.expect(job)
      if (failure === 'unknown') return { kind: 'uncertain', reason }
      return { kind: 'refused', retryAfterMs: RETRY_AFTER_MS, reason }
    }
    const { committed } = res.value
    const rowVersion = acceptedRowVersion(res.value, job)
    const conflictingRows = res.value.committed ? [] : res.value.current
    if (rowVersion === undefined) {
      const result = await resultOfConflict(conflictingRows, job)
      if (result.kind !== 'accepted') {
        log.event('jobRefused', { job: id, queue: name, reason: result.kind })
        return result
      }
    }
    log.event('jobAccepted', {
      job: id,
      queue: name,
      namespace: namespace.name,
      service,
      organisation,
      configuration: version,
      configurationAgeMs: ageMs,
      again: !committed,
    })
    if (rowVersion !== undefined) owners.offer(job, rowVersion)
    return { kind: 'accepted' }
  }

  async function cancel(
    queue: Queue,
    id: string,
    caller?: string,
  ): Promise<Answer<undefined>> {
    const namespace = await namespaces.find(queue)
    if (namespace.isErr()) return unavailable(describeError(namespace.error))
    const { names } = namespace.value
    for (;;) {
      const found = logIfUnreadable(id, await findStoredJob(store, names, id, caller))
      if (found.kind !== 'ok') return found
      const { queue: recordedIn, service, cancelled, outcome, version } = found.value
      if (outcome) return { kind: 'ok', value: undefined }
      if (!cancelled) {
        const put = { ...cancelKey(recordedIn, id), value: '{}' }
        const conditions = [{ ...intakeKey(recordedIn, id), version }]
        const { res } = await commitUntilKnown({ conditions, puts: [put], removals: [] })
        if (res.isErr()) return unavailable(describeError(res.error))
        // The job has finished since the read, and its row has moved to the ended table.
        if (!res.value.committed) continue
        log.event('jobCancelled', { job: id, queue: queue.name, namespace: recordedIn })
      }
      owners.cancel(service, id, recordedIn)
      return { kind: 'ok', value: undefined }
    }
  }

  return {
    match(host, path) {
      const queue = configuration.match(host, path)
      if (queue)
        return { kind: 'found', queue, rest: path.slice(queue.pathPrefix.length) }
      const current = configuration.current()
      const isStale = isConfigurationStale(configuration)
      // An unreadable part of the configuration may define the queue, so it is not ruled out.
      if (!current || isStale || current.invalidParts.length > 0) {
        return { kind: 'notReady', retryAfterMs: RETRY_AFTER_MS }
      }
      return { kind: 'unknown' }
    },

    checkCaller(queue, key) {
      const check = checkCaller(configuration, queue, key)
      if (check.kind !== 'admitted')
        log.event('callerRefused', {
          queue: queue.name,
          reason: check.kind,
          hasKey: key !== undefined,
          configuration: configuration.current()?.version,
          configurationAgeMs: Math.round(configurationAgeMs(configuration)),
        })
      return check
    },

    submit,
    cancel,

    async status(queue, id, caller) {
      const known = await queries.statusAtOwner(queue, id, caller)
      const answer: Answer<JobStatus> =
        known !== undefined
          ? { kind: 'ok', value: known }
          : logIfUnreadable(id, await queries.statusOfStored(queue, id, caller))
      log.event('jobAnswered', { job: id, fromOwner: known !== undefined, ...answer })
      return answer
    },

    waiting: queries.waiting,
  }
}
