/**
 * Keeps rows of targets in the parts of the owner's node while the part of its service, which holds
 * the roster, is down. The owner keeps its lease by writes to the parts of its node alone, and a
 * target that is new needs no more than that: a successor reads the rows of all nodes.
 */
import { z } from 'zod'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { nodeParts } from '../ownership/index.js'
import type { Authority } from '../ownership/index.js'
import type { RowCondition, RowKey, RowStore, StoredRow } from '../ports/index.js'
import {
  addressSchema,
  describeError,
  jittered,
  parseJson,
  sleep,
} from '../shared/index.js'
import { createBatches } from '../storeAccess/index.js'
import type { Logger, PlatformError } from '../shared/index.js'
import { FLUSH_RETRY_MS } from './constants.js'

/** Table with the rows; the key is the service and the target. */
export const NODE_ROSTER_TABLE = 'nodeRoster'

const rowSchema = z.object({ address: addressSchema })

/** A target on which tasks may be started. */
interface Entry {
  id: string
  address: string
}

/** A row that some owner of the service has written to a part of its node. */
export interface NodeRosterRow {
  id: string
  /** Undefined if the row cannot be read; its key alone shows that tasks may run there. */
  address: string | undefined
  location: RowCondition
}

/** Rows of one service in the parts of nodes. */
export interface NodeRoster {
  /** Whether the target has a durable row that a successor reads. */
  has(id: string): boolean
  /** Writes rows to one part of this node; resolves to whether they are durable. */
  add(entries: readonly Entry[]): Promise<boolean>
  /** Adopts the rows that earlier owners of the service have left. */
  inherit(rows: readonly NodeRosterRow[]): void
  /** Schedules the removal of the target's row. */
  remove(id: string): void
  stop(): void
}

const prefixOf = (service: string): string => `${encodeURIComponent(service)}/`

function decodeRow({ table, part, key, value, version }: StoredRow): NodeRosterRow {
  const { data } = rowSchema.safeParse(parseJson(value))
  const id = key.slice(key.indexOf('/') + 1)
  return { id, address: data?.address, location: { table, part, key, version } }
}

/** Reads the rows of a service in the parts of all nodes; fails if one part cannot be read. */
export async function readNodeRosters(
  store: RowStore,
  service: string,
): Promise<Result<NodeRosterRow[], PlatformError>> {
  const parts = await store.parts(NODE_ROSTER_TABLE)
  if (parts.isErr()) return err(parts.error)
  const from = prefixOf(service)
  // '0' is the character after the '/' that ends the prefix.
  const range = { from, until: `${from.slice(0, -1)}0` }
  const found = await Promise.all(
    parts.value.map((part) => store.read(NODE_ROSTER_TABLE, part, range)),
  )
  const rows: NodeRosterRow[] = []
  for (const each of found) {
    if (each.isErr()) return err(each.error)
    rows.push(...each.value.rows.map(decodeRow))
  }
  return ok(rows)
}

/** Creates a roster that knows no rows. */
export function createNodeRoster(opts: {
  store: RowStore
  authority: Authority
  log: Logger
}): NodeRoster {
  const { store, authority, log } = opts
  /** Parts of this node; the first is written to. */
  const parts = nodeParts(authority.node)
  /** Durable rows, by target. */
  const durable = new Map<string, RowCondition[]>()
  const removing: RowCondition[] = []
  /** Targets whose rows the store can never take. */
  const unwritable = new Set<string>()
  let isRemoving = false
  let isStopped = false

  const note = (id: string, location: RowCondition): void =>
    void durable.set(id, [...(durable.get(id) ?? []), location])

  const keyOf = ({ id }: Pick<Entry, 'id'>): RowKey => ({
    table: NODE_ROSTER_TABLE,
    part: parts[0] ?? '',
    key: prefixOf(authority.service) + id,
  })
  const putOf = (entry: Entry) => ({
    ...keyOf(entry),
    value: JSON.stringify({ address: entry.address }),
  })
  const additions = createBatches<Entry>({
    store,
    changeOf: (entry) => ({ puts: [putOf(entry)] }),
  })
  const removals = createBatches<RowCondition>({
    store,
    changeOf: (row) => ({ conditions: [row], removals: [row] }),
  })

  async function add(entries: readonly Entry[]): Promise<boolean> {
    const added = additions.next(entries.filter(({ id }) => !unwritable.has(id)))
    if (added.length === 0) return false
    const keys = added.map(keyOf)
    const puts = added.map(putOf)
    const res = await store.commit({ conditions: [], puts, removals: [] })
    if (res.isErr()) {
      log.event('rosterNotWritten', { reason: describeError(res.error) })
      if (res.error.failure === 'rejected') {
        const atFault = additions.noteRejected(added)
        if (atFault) unwritable.add(atFault.id)
      } else parts.push(...parts.splice(0, 1))
      return false
    }
    if (!res.value.committed) return false
    const { version } = res.value
    const rows = added.map(({ id }, index) => ({
      id,
      row: { ...keys[index]!, version },
    }))
    // A successor reads the rows after the lease of this owner, and may have missed these.
    if (!authority.isConfirmed()) {
      scheduleRemoval(rows.map(({ row }) => row))
      return false
    }
    for (const { id, row } of rows) note(id, row)
    return true
  }

  /** Removes rows of one part; returns whether they are gone or have been written again. */
  async function removeOnce(rows: readonly RowCondition[]): Promise<boolean> {
    const keys = rows.map(({ table, part, key }) => ({ table, part, key }))
    const res = await store.commit({ conditions: [...rows], puts: [], removals: keys })
    if (res.isErr()) {
      log.event('rosterNotWritten', { reason: describeError(res.error) })
      if (res.error.failure !== 'rejected') return false
      return removals.noteRejected(rows) !== undefined
    }
    if (res.value.committed) return true
    const { current } = res.value
    const isUnchanged = (row: RowCondition): boolean =>
      current.some(({ key, version }) => key === row.key && version === row.version)
    removing.push(...rows.filter(isUnchanged))
    return true
  }

  function scheduleRemoval(rows: readonly RowCondition[]): void {
    removing.push(...rows)
    void runRemovals()
  }

  async function runRemovals(): Promise<void> {
    if (isRemoving) return
    isRemoving = true
    await sleep(0)
    while (!isStopped && removing.length > 0) {
      const [first] = removing
      const batch = removals.next(removing.filter(({ part }) => part === first?.part))
      if (await removeOnce(batch)) {
        for (const row of batch) removing.splice(removing.indexOf(row), 1)
      } else await sleep(jittered(FLUSH_RETRY_MS))
    }
    isRemoving = false
  }

  return {
    has: (id) => durable.has(id),
    add,
    inherit(rows) {
      for (const { id, location } of rows) note(id, location)
    },
    remove(id) {
      const rows = durable.get(id)
      if (!rows) return
      durable.delete(id)
      scheduleRemoval(rows)
    },
    stop: () => void (isStopped = true),
  }
}
