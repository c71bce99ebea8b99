/**
 * Keeps one row for each target on which an owner may have started tasks, written before the
 * first start. A successor must get an answer from each of these targets, or wait until the
 * leases there have expired, before it starts an inherited task anywhere.
 */
import { z } from 'zod'
import type { RowKey, RowStore, StoredRow } from '../ports/index.js'
import type { Authority } from '../ownership/index.js'
import {
  addressSchema,
  describeError,
  jittered,
  parseJson,
  sleep,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { FLUSH_RETRY_MS } from './constants.js'
import { commitUnderEpoch } from './epochCommit.js'

export const ROSTER_TABLE = 'roster'
/**
 * Time without an answer after which the rows of new targets are written once more in parallel,
 * in ms. Nothing starts on a target before its row is known to be stored, and a slow store may
 * answer the later write first.
 */
const HEDGE_DELAY_MS = 400
const MAX_CONCURRENT_WRITES = 3
/** The store accepts 100 entries per transaction, including the condition on the epoch. */
const MAX_ROWS_PER_WRITE = 90

const entrySchema = z.object({ address: addressSchema })

/** A target on which tasks may be started. */
export interface RosterEntry {
  id: string
  address: string
}

/** A target on which a predecessor may have started tasks. */
export interface InheritedRosterEntry {
  id: string
  /** Undefined if the row cannot be read; its key alone shows that tasks may run there. */
  address: string | undefined
}

/** Decodes a row of the roster; a row that cannot be read gives an entry without address. */
export function decodeRosterEntry({ key, value }: StoredRow): InheritedRosterEntry {
  const parsed = entrySchema.safeParse(parseJson(value))
  return { id: key, address: parsed.data?.address }
}

/** The roster of one service. */
export interface Roster {
  /** Whether the target's row is durable, so that tasks may be started there. */
  has(id: string): boolean
  /** Schedules a write of the target's row unless it is durable. */
  add(entry: RosterEntry): void
  /** Removes the row of a target whose tasks are all known to have ended. */
  remove(id: string): void
  stop(): void
}

/** Starts with the inherited entries; those that cannot be read do not count as durable. */
export function createRoster(opts: {
  store: RowStore
  authority: Authority
  entries: InheritedRosterEntry[]
  log: Logger
  /** Called when entries have become durable. */
  added(): void
}): Roster {
  const { store, authority, log } = opts
  const isReadable = ({ address }: InheritedRosterEntry): boolean => address !== undefined
  const durable = new Set(opts.entries.filter(isReadable).map(({ id }) => id))
  const unreadable = new Set(
    opts.entries.map(({ id }) => id).filter((id) => !durable.has(id)),
  )
  const adding = new Map<string, RosterEntry>()
  const removing = new Set<string>()
  let isRunning = false
  let isStopped = false

  const key = (id: string): RowKey => ({
    table: ROSTER_TABLE,
    part: authority.service,
    key: id,
  })

  async function writeOnce(removals: readonly string[] = []): Promise<boolean> {
    const added = [...adding.values()].slice(0, MAX_ROWS_PER_WRITE)
    const removed = removals.slice(0, MAX_ROWS_PER_WRITE - added.length)
    const puts = added.map(({ id, address }) => ({
      ...key(id),
      value: JSON.stringify({ address }),
    }))
    const change = { puts, removals: removed.map(key) }
    const res = await commitUnderEpoch(store, authority, change)
    if (res.isErr()) log.event('rosterNotWritten', { reason: describeError(res.error) })
    if (res.isErr() || !res.value) return false
    for (const { id } of added) {
      durable.add(id)
      adding.delete(id)
    }
    for (const id of removed) removing.delete(id)
    if (added.length > 0) opts.added()
    return true
  }

  /**
   * Writes the pending changes. Repeats the additions while there is no answer, as adding a row
   * twice is harmless. Resolves to whether the first write to be answered was committed.
   */
  async function write(): Promise<boolean> {
    const writes = [writeOnce([...removing])]
    while (adding.size > 0 && writes.length < MAX_CONCURRENT_WRITES) {
      const done = await Promise.race([...writes, sleep(HEDGE_DELAY_MS)])
      if (done !== undefined) return done
      if (adding.size > 0 && !isStopped) writes.push(writeOnce())
    }
    return Promise.race(writes)
  }

  async function run(): Promise<void> {
    if (isRunning) return
    isRunning = true
    // Targets are added in groups; after one turn of the event loop a single write carries all.
    await sleep(0)
    while (!isStopped && (adding.size > 0 || removing.size > 0)) {
      if (!(await write())) await sleep(jittered(FLUSH_RETRY_MS))
    }
    isRunning = false
  }

  return {
    has: (id) => durable.has(id),
    add(entry) {
      if (durable.has(entry.id) || adding.has(entry.id)) return
      adding.set(entry.id, entry)
      void run()
    },
    remove(id) {
      const hadRow = durable.delete(id) || unreadable.delete(id)
      if (!hadRow) return
      removing.add(id)
      void run()
    },
    stop: () => void (isStopped = true),
  }
}
