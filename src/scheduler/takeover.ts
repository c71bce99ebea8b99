/** Reads the state that a new owner of a service needs before it handles any job. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { keyRange } from '../ports/index.js'
import type { RowKey, RowStore } from '../ports/index.js'
import { PROGRESS_TABLE } from '../jobs/index.js'
import type { Authority } from '../ownership/index.js'
import { createInvalidRows, describeError, jittered, sleep } from '../shared/index.js'
import type { Logger, PlatformError } from '../shared/index.js'
import { FLUSH_RETRY_MS } from './constants.js'
import { cacheSuccess, intakeVersion } from './intakeReading.js'
import { QUEUES_TABLE } from './queueRows.js'
import { readNodeRosters } from './nodeRoster.js'
import type { NodeRosterRow } from './nodeRoster.js'
import { decodeQuotaBounds, quotaRowKey } from './quotaRow.js'
import type { QuotaBounds } from './quotaRow.js'
import { ROSTER_TABLE, decodeRosterEntry } from './roster.js'
import type { InheritedRosterEntry } from './roster.js'
import { readAllProgress } from './storedProgress.js'
import type { StoredProgress } from './storedProgress.js'

/** Progress rows by job id, and the ids of the jobs whose progress row cannot be read. */
export interface InheritedProgress {
  /** Undefined for a job whose progress is not needed any more. */
  progress: Map<string, StoredProgress | undefined>
  unreadableProgress: Set<string>
  /** Keys of the rows, by job id. */
  progressKeys: Map<string, RowKey[]>
}

/** State that a predecessor has left in the store, apart from the jobs themselves. */
export interface InheritedState extends InheritedProgress {
  roster: InheritedRosterEntry[]
  /** Rows of targets in the parts of nodes; undefined if they cannot be read. */
  nodeRoster: NodeRosterRow[] | undefined
  /** Queues from which jobs may have been started. */
  queues: string[]
  /** Bounds of what runs may use of quotas; undefined if they cannot be read. */
  quotaBounds: QuotaBounds | undefined
  /** Version after which changes of the intake are followed; older rows are read in full. */
  version: number
}

/** State of an owner that lost its service before it had read anything. */
const NOTHING_INHERITED: InheritedState = {
  progress: new Map(),
  unreadableProgress: new Set(),
  progressKeys: new Map(),
  roster: [],
  nodeRoster: [],
  queues: [],
  quotaBounds: new Map(),
  version: 0,
}

async function readProgress(
  store: RowStore,
  service: string,
  log: Logger,
): Promise<Result<InheritedProgress, PlatformError>> {
  const found = await readAllProgress(store, service)
  if (found.isErr()) return err(found.error)
  const unreadableRows = createInvalidRows(log, PROGRESS_TABLE)
  const progress: InheritedState['progress'] = new Map()
  const unreadableProgress = new Set<string>()
  const progressKeys = new Map<string, RowKey[]>()
  for (const [id, { stored, problem = '', keys }] of found.value) {
    progressKeys.set(id, keys)
    if (stored) {
      progress.set(id, stored)
      continue
    }
    unreadableProgress.add(id)
    unreadableRows.note(id, `${problem}; its job is held until it can or is removed`)
  }
  return ok({ progress, unreadableProgress, progressKeys })
}

async function readRoster(
  store: RowStore,
  service: string,
  log: Logger,
): Promise<Result<InheritedRosterEntry[], PlatformError>> {
  const roster = await store.read(ROSTER_TABLE, service)
  if (roster.isErr()) return err(roster.error)
  const unreadableRows = createInvalidRows(log, ROSTER_TABLE)
  const entries = roster.value.rows.map(decodeRosterEntry)
  for (const { id, address } of entries) {
    if (address === undefined)
      unreadableRows.note(id, 'its target is treated as unreachable')
  }
  return ok(entries)
}

/** Returns undefined if they cannot be read: a part of another node must not delay the takeover. */
async function readNodeRows(
  store: RowStore,
  service: string,
  log: Logger,
): Promise<InheritedState['nodeRoster']> {
  const rows = await readNodeRosters(store, service)
  if (rows.isOk()) return rows.value
  log.event('nodeRostersNotRead', { service, reason: describeError(rows.error) })
  return undefined
}

async function readQuotaBounds(
  store: RowStore,
  service: string,
  log: Logger,
): Promise<Result<InheritedState['quotaBounds'], PlatformError>> {
  const { table, part, key } = quotaRowKey(service)
  const rows = await store.read(table, part, keyRange(key))
  return rows.map(({ rows: [row] }) => {
    if (!row) return new Map()
    const bounds = decodeQuotaBounds(row.value)
    if (!bounds)
      createInvalidRows(log, table).note(key, 'the maxima are reserved for unknown runs')
    return bounds
  })
}

/** Creates a read of the rows under the new epoch; a retry repeats only the failed calls. */
function createInheritedReader(
  store: RowStore,
  service: string,
  log: Logger,
): () => Promise<Result<InheritedState, PlatformError>> {
  const progress = cacheSuccess(() => readProgress(store, service, log))
  const roster = cacheSuccess(() => readRoster(store, service, log))
  const nodeRoster = (): Promise<InheritedState['nodeRoster']> =>
    readNodeRows(store, service, log)
  const queues = cacheSuccess(() => store.read(QUEUES_TABLE, service))
  const quotaBounds = cacheSuccess(() => readQuotaBounds(store, service, log))
  const version = cacheSuccess(() => intakeVersion(store, service))
  return async () => {
    const [progressRes, rosterRes, nodeRows, queuesRes, quotasRes, versionRes] =
      await Promise.all([
        progress(),
        roster(),
        nodeRoster(),
        queues(),
        quotaBounds(),
        version(),
      ])
    if (progressRes.isErr()) return err(progressRes.error)
    if (rosterRes.isErr()) return err(rosterRes.error)
    if (queuesRes.isErr()) return err(queuesRes.error)
    if (quotasRes.isErr()) return err(quotasRes.error)
    return versionRes.map((each) => ({
      ...progressRes.value,
      roster: rosterRes.value,
      nodeRoster: nodeRows,
      queues: queuesRes.value.rows.map(({ key }) => key),
      quotaBounds: quotasRes.value,
      version: each,
    }))
  }
}

/**
 * Reads the predecessor's state, with retries. Returns an empty state if the ownership is lost
 * or the signal aborted first. An expired lease does not end the retries: it may be confirmed
 * again, and an owner without this state would leave all jobs waiting or repeat finished tasks.
 */
export async function readInheritedUntilDone(opts: {
  store: RowStore
  authority: Authority
  log: Logger
  signal: AbortSignal
}): Promise<InheritedState> {
  const { store, authority, log, signal } = opts
  const { service } = authority
  const read = createInheritedReader(store, service, log)
  for (;;) {
    const res = await read()
    if (res.isOk()) return res.value
    log.event('takeoverWaits', { service, reason: describeError(res.error) })
    if (signal.aborted || authority.isLost()) {
      return NOTHING_INHERITED
    }
    await sleep(jittered(FLUSH_RETRY_MS), signal)
  }
}

/**
 * Whether the queue rows cover every job that may have been started. Owners of an older software
 * version wrote no such rows.
 */
export function hasAllQueueRows({ queues, roster, progress }: InheritedState): boolean {
  return queues.length > 0 || (roster.length === 0 && progress.size === 0)
}
