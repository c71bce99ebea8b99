/** Reads everything that a new owner of a service must know from the store, and adopts it. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { RowStore } from '../ports/index.js'
import { PROGRESS_TABLE, decodeProgress } from '../jobs/index.js'
import type { JobBook, Progress } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { createUnreadRows, describeError, jittered, sleep } from '../shared/index.js'
import type { Logger, PlatformError, UnreadRows } from '../shared/index.js'
import { FLUSH_RETRY_MS } from './constants.js'
import type { HeldJobs } from './heldJobs.js'
import { createIntakeReading, once } from './intakeReading.js'
import type { Intake, Reading } from './intakeReading.js'
import { ROSTER_TABLE, decodeRosterEntry } from './roster.js'
import type { InheritedEntry } from './roster.js'

/** What a predecessor has left in the store. */
export interface Inherited extends Intake {
  progress: Map<string, { progress: Progress; version: number }>
  /** Ids of jobs whose progress cannot be read. */
  progressUnread: Set<string>
  roster: InheritedEntry[]
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
