/** Reads everything that a new owner of a service must know from the store, and adopts it. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { RowStore, StoredRow } from '../ports/index.js'
import {
  INTAKE_TABLE,
  PROGRESS_TABLE,
  decodeIntake,
  decodeProgress,
} from '../jobs/index.js'
import type { JobBook, JobSpec, Progress } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { describeError, jittered, sleep } from '../shared/index.js'
import type { Logger, PlatformError } from '../shared/index.js'
import { FLUSH_RETRY_MS } from './constants.js'
import { ROSTER_TABLE, decodeRosterEntry } from './roster.js'
import type { RosterEntry } from './roster.js'

/** Parts that are read at the same time: each takes a connection to the store. */
const READS_AT_ONCE = 8

/** Rows of the intake that concern one service. */
export interface Intake {
  jobs: JobSpec[]
  /** Ids of jobs to cancel, of whichever service. */
  cancels: string[]
  /** Version to continue from. */
  version: number
}

/** What a predecessor has left in the store. */
export interface Inherited extends Intake {
  progress: Map<string, { progress: Progress; version: number }>
  roster: RosterEntry[]
}

/** Reads the intake of all queues; later changes come after `version`. */
export async function readIntake(
  store: RowStore,
  service: string,
  log: Logger,
): Promise<Result<Intake, PlatformError>> {
  // From before the queues are listed, so that a queue that comes meanwhile is a change.
  const before = await store.read(INTAKE_TABLE, '')
  if (before.isErr()) return err(before.error)
  const parts = await store.parts(INTAKE_TABLE)
  if (parts.isErr()) return err(parts.error)
  const intake: Intake = { jobs: [], cancels: [], version: before.value.version }
  for (let at = 0; at < parts.value.length; at += READS_AT_ONCE) {
    const some = parts.value.slice(at, at + READS_AT_ONCE)
    const found = await Promise.all(some.map((part) => store.read(INTAKE_TABLE, part)))
    for (const each of found) {
      if (each.isErr()) return err(each.error)
      for (const row of each.value.rows) addIntakeRow(intake, row, service, log)
    }
  }
  return ok(intake)
}

function addIntakeRow(
  intake: Intake,
  row: StoredRow,
  service: string,
  log: Logger,
): void {
  const entry = decodeIntake(row.key, row.value)
  if (entry.kind === 'cancel') intake.cancels.push(entry.id)
  else if (entry.kind === 'invalid')
    log.event('rowInvalid', { key: row.key, reason: entry.reason })
  else if (entry.job.service === service) intake.jobs.push(entry.job)
}

/** Reads progress and roster first under the new epoch, then the intake. */
async function readInherited(
  store: RowStore,
  service: string,
  log: Logger,
): Promise<Result<Inherited, PlatformError>> {
  const rows = await store.read(PROGRESS_TABLE, service)
  if (rows.isErr()) return err(rows.error)
  const progress: Inherited['progress'] = new Map()
  for (const row of rows.value.rows) {
    const decoded = decodeProgress(row.value)
    if (decoded) progress.set(row.key, { progress: decoded, version: row.version })
    else log.event('rowInvalid', { table: PROGRESS_TABLE, key: row.key })
  }
  const roster = await store.read(ROSTER_TABLE, service)
  if (roster.isErr()) return err(roster.error)
  const entries = roster.value.rows.flatMap((row) => decodeRosterEntry(row) ?? [])
  const intake = await readIntake(store, service, log)
  return intake.map((each) => ({ ...each, progress, roster: entries }))
}

/** Reads until it is done; nothing when the ownership ends before. */
export async function readInheritedUntilDone(opts: {
  store: RowStore
  authority: Authority
  log: Logger
  signal: AbortSignal
}): Promise<Inherited> {
  const { store, authority, log, signal } = opts
  const { service } = authority
  for (;;) {
    const res = await readInherited(store, service, log)
    if (res.isOk()) return res.value
    log.event('takeoverWaits', { service, reason: describeError(res.error) })
    if (signal.aborted || !authority.mayOrder()) {
      return { jobs: [], cancels: [], version: 0, progress: new Map(), roster: [] }
    }
    await sleep(jittered(FLUSH_RETRY_MS), signal)
  }
}

/** Adds the predecessor's jobs; their tasks wait until its targets have been heard. */
export function adoptJobs(book: JobBook, inherited: Inherited): void {
  for (const job of inherited.jobs) {
    book.add(job, { ...inherited.progress.get(job.id), gated: true })
  }
  for (const id of inherited.cancels) book.cancel(id)
}
