/** Reads everything that a new owner of a service must know from the store, and adopts it. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { RowStore, StoredRow } from '../ports/index.js'
import {
  INTAKE_TABLE,
  PROGRESS_TABLE,
  decodeIntake,
  decodeProgress,
  queueOfPart,
} from '../jobs/index.js'
import type { JobBook, JobSpec, Progress } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { createUnreadRows, describeError, jittered, sleep } from '../shared/index.js'
import type { Logger, PlatformError, UnreadRows } from '../shared/index.js'
import { FLUSH_RETRY_MS } from './constants.js'
import type { HeldJobs } from './heldJobs.js'
import { ROSTER_TABLE, decodeRosterEntry } from './roster.js'
import type { InheritedEntry } from './roster.js'

/**
 * Parts that are read at the same time. Each takes a connection to the store, whose answers
 * share the node's link with the renewals of its lease.
 */
const READS_AT_ONCE = 4

/** Rows of the intake that concern one service. */
export interface Intake {
  jobs: JobSpec[]
  /** Ids of jobs to cancel, of whichever service. */
  cancels: string[]
  /** Ids of jobs, of whichever service, whose rows cannot be read. */
  unread: string[]
  /**
   * Version to continue from. A job whose row was written before and is not among the jobs
   * is over.
   */
  version: number
}

/** What a predecessor has left in the store. */
export interface Inherited extends Intake {
  progress: Map<string, { progress: Progress; version: number }>
  /** Ids of jobs whose progress cannot be read. */
  progressUnread: Set<string>
  roster: InheritedEntry[]
}

/** A reading that keeps what it has read, so that a try after a failure goes on from there. */
export interface Reading<T> {
  next(): Promise<Result<T, PlatformError>>
}

/** What an owner knows that has lost its service before it had read anything. */
const NOTHING_INHERITED: Inherited = {
  jobs: [],
  cancels: [],
  unread: [],
  version: 0,
  progress: new Map(),
  progressUnread: new Set(),
  roster: [],
}

/** The value of a reading that is made at most once. */
function once<T>(
  read: () => Promise<Result<T, PlatformError>>,
): () => Promise<Result<T, PlatformError>> {
  let known: Result<T, PlatformError> | undefined
  return async () => {
    const res = known ?? (await read())
    if (res.isOk()) known = res
    return res
  }
}

/** What is done with the rows of the intake that concern a service, as they are read. */
export interface IntakeHandler {
  job(job: JobSpec): void
  /** A job of whichever service is to be cancelled. */
  cancel(id: string): void
  /** The row of a job, of whichever service, cannot be read. */
  unreadable(id: string): void
}

/** Version of the store now: what is written later is a change after it. */
export async function intakeVersion(
  store: RowStore,
): Promise<Result<number, PlatformError>> {
  // No rows lie in this part, so that the answer is short.
  const res = await store.read(INTAKE_TABLE, '')
  return res.map(({ version }) => version)
}

/** A reading of the rows of all queues. */
export interface PartsReadingOptions {
  store: RowStore
  service: string
  unread: UnreadRows
  /** Queues whose parts are read first. */
  first: ReadonlySet<string>
  handler: IntakeHandler
}

/** Reads the rows of all queues, and hands on what it reads part by part. */
export function createPartsReading(opts: PartsReadingOptions): Reading<void> {
  const { store, service, unread, first, handler } = opts
  let left: string[] | undefined

  function addRow(row: StoredRow): void {
    const entry = decodeIntake(row, row.value)
    if (entry.kind === 'cancel') return handler.cancel(entry.id)
    if (entry.kind === 'job') {
      unread.clear(row.key)
      if (entry.job.service === service) handler.job(entry.job)
      return
    }
    unread.note(row.key, entry.reason)
    handler.unreadable(entry.id)
  }

  /** Reads some of the parts that are left, which become fewer by those that were read. */
  async function readSome(parts: string[]): Promise<Result<void, PlatformError>> {
    const some = parts.slice(0, READS_AT_ONCE)
    const found = await Promise.all(some.map((part) => store.read(INTAKE_TABLE, part)))
    let failure: PlatformError | undefined
    for (const [index, each] of found.entries()) {
      if (each.isErr()) {
        failure = each.error
        continue
      }
      for (const row of each.value.rows) addRow(row)
      parts.splice(parts.indexOf(some[index]!), 1)
    }
    return failure ? err(failure) : ok(undefined)
  }

  return {
    async next() {
      if (!left) {
        const parts = await store.parts(INTAKE_TABLE)
        if (parts.isErr()) return err(parts.error)
        const isFirst = (part: string): boolean => first.has(queueOfPart(part))
        const others = parts.value.filter((part) => !isFirst(part))
        left = [...parts.value.filter(isFirst), ...others]
      }
      while (left.length > 0) {
        const read = await readSome(left)
        if (read.isErr()) return err(read.error)
      }
      return ok(undefined)
    },
  }
}

/** Reads the intake of all queues; later changes come after `version`. */
export function createIntakeReading(
  store: RowStore,
  service: string,
  unread: UnreadRows,
): Reading<Intake> {
  const jobs: JobSpec[] = []
  const cancels: string[] = []
  const unreadIds: string[] = []
  // From before the queues are listed, so that a queue that comes meanwhile is a change.
  const before = once(() => intakeVersion(store))
  const handler: IntakeHandler = {
    job: (job) => void jobs.push(job),
    cancel: (id) => void cancels.push(id),
    unreadable: (id) => void unreadIds.push(id),
  }
  const first = new Set<string>()
  const parts = createPartsReading({ store, service, unread, first, handler })
  return {
    async next() {
      const version = await before()
      if (version.isErr()) return err(version.error)
      const read = await parts.next()
      return read.map(() => ({
        jobs,
        cancels,
        unread: unreadIds,
        version: version.value,
      }))
    },
  }
}

/** The progress of jobs, and the ids of those whose row cannot be read. */
type InheritedProgress = Pick<Inherited, 'progress' | 'progressUnread'>

async function readProgress(
  store: RowStore,
  service: string,
  log: Logger,
): Promise<Result<InheritedProgress, PlatformError>> {
  const rows = await store.read(PROGRESS_TABLE, service)
  if (rows.isErr()) return err(rows.error)
  const unread = createUnreadRows(log, PROGRESS_TABLE)
  const progress: Inherited['progress'] = new Map()
  const progressUnread = new Set<string>()
  for (const { key, value, version } of rows.value.rows) {
    const decoded = decodeProgress(value)
    if (decoded) {
      progress.set(key, { progress: decoded, version })
      continue
    }
    progressUnread.add(key)
    unread.note(key, 'its job is held until the row can be read or is removed')
  }
  return ok({ progress, progressUnread })
}

async function readRoster(
  store: RowStore,
  service: string,
  log: Logger,
): Promise<Result<InheritedEntry[], PlatformError>> {
  const roster = await store.read(ROSTER_TABLE, service)
  if (roster.isErr()) return err(roster.error)
  const unread = createUnreadRows(log, ROSTER_TABLE)
  const entries = roster.value.rows.map(decodeRosterEntry)
  for (const { id, address } of entries) {
    if (address === undefined) unread.note(id, 'its target counts as out of reach')
  }
  return ok(entries)
}

/** Reads progress and roster first under the new epoch, then the intake. */
function createInheritedReading(
  store: RowStore,
  service: string,
  log: Logger,
  unread: UnreadRows,
): Reading<Inherited> {
  const progress = once(() => readProgress(store, service, log))
  const roster = once(() => readRoster(store, service, log))
  const intake = createIntakeReading(store, service, unread)
  return {
    async next() {
      const known = await progress()
      if (known.isErr()) return err(known.error)
      const entries = await roster()
      if (entries.isErr()) return err(entries.error)
      const jobs = await intake.next()
      return jobs.map((each) => ({
        ...each,
        ...known.value,
        roster: entries.value,
      }))
    },
  }
}

/**
 * Reads until it is done; nothing when the ownership is lost before. A lease that has run out
 * is no reason to end: it may be confirmed again, and an owner that then knew of nothing
 * would leave all jobs waiting, or run anew what was done. What was read stays read: begun
 * anew after each failure, readings filled the links that had made them fail.
 */
export async function readInheritedUntilDone(opts: {
  store: RowStore
  authority: Authority
  log: Logger
  /** Rows of the intake that cannot be read. */
  unread: UnreadRows
  signal: AbortSignal
}): Promise<Inherited> {
  const { store, authority, log, unread, signal } = opts
  const { service } = authority
  const reading = createInheritedReading(store, service, log, unread)
  for (;;) {
    const res = await reading.next()
    if (res.isOk()) return res.value
    log.event('takeoverWaits', { service, reason: describeError(res.error) })
    if (signal.aborted || authority.isLost()) {
      return NOTHING_INHERITED
    }
    await sleep(jittered(FLUSH_RETRY_MS), signal)
  }
}

/**
 * Adds the predecessor's jobs; their tasks wait until its targets have been heard. A job
 * without its progress would run anew what is done: it is held.
 */
export function adoptJobs(
  book: JobBook,
  held: HeldJobs,
  inherited: Inherited,
  cancel: (id: string) => void,
): void {
  const { jobs, progress, progressUnread, unread } = inherited
  for (const id of unread) held.hold(id)
  for (const job of jobs) {
    if (progressUnread.has(job.id)) held.hold(job.id, job)
    else book.add(job, { ...progress.get(job.id), gated: true })
  }
  for (const id of inherited.cancels) cancel(id)
}

/** Ids of progress rows whose jobs have left the intake, so that nobody needs them. */
export function leftoverProgress({ jobs, unread, progress }: Inherited): string[] {
  const open = new Set([...jobs.map(({ id }) => id), ...unread])
  return [...progress.keys()].filter((id) => !open.has(id))
}
