/**
 * Reads the rows of all nodes: completely at first, then only the changes. Each node's row is in a
 * part of its own, because a part applies its writes one after another: with one common part, a slow
 * store could not keep up with the renewals. Each node has a few such parts, and renews its row in
 * another one while the first is down. With one part per node, an outage of a fifth of the parts
 * keeps 11 of 44 nodes from renewing and leaves the fleet without orders for 6 s; with two parts,
 * it keeps two nodes from renewing, one of which can be the owner of the fleet.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { RowChange, RowKey, RowStore, StoredRow } from '../ports/index.js'
import type { PlatformError } from '../shared/index.js'
import { NODES_TABLE } from './nodeRow.js'

/** Result of a read. */
export interface NodeRowUpdate {
  /** Whether `rows` holds all rows; otherwise it holds only the changes. */
  complete: boolean
  rows: RowChange[]
}

/** Reads node rows. */
export interface NodeRowReader {
  /** Reads all rows at first and after a gap in the history, otherwise the changes. */
  read(): Promise<Result<NodeRowUpdate, PlatformError>>
  /**
   * Reads the current row of one node, the newest from the parts that are up; undefined when there
   * is none. Returns an error when no part can be read or the answer from one was lost.
   */
  readOne(id: string): Promise<Result<StoredRow | undefined, PlatformError>>
}

/** Parts per node: with a fifth of all parts down, one node in 600 has none that is up. */
const PARTS_PER_NODE = 4

/** Parts of a node: its own, and others that it uses while that is down. */
export const nodeParts = (id: string): string[] =>
  Array.from({ length: PARTS_PER_NODE }, (_, each) =>
    each === 0 ? id : `${id}~${each + 1}`,
  )

/** Keys that a node's row can have. */
export const nodeKeys = (id: string): RowKey[] =>
  nodeParts(id).map((part) => ({ table: NODES_TABLE, part, key: id }))

/** Creates a reader that has read nothing yet. */
export function createNodeRowReader(store: RowStore): NodeRowReader {
  /** Version after which changes are read; undefined when all rows must be read. */
  let version: number | undefined

  async function readAll(): Promise<Result<NodeRowUpdate, PlatformError>> {
    // Taken before the parts are listed, so that a part added meanwhile shows up as a change.
    const before = await store.read(NODES_TABLE, '')
    if (before.isErr()) return err(before.error)
    const parts = await store.parts(NODES_TABLE)
    if (parts.isErr()) return err(parts.error)
    const found = await Promise.all(
      parts.value.map((part) => store.read(NODES_TABLE, part)),
    )
    const rows: RowChange[] = []
    for (const each of found) {
      if (each.isErr()) return err(each.error)
      rows.push(...each.value.rows)
    }
    version = before.value.version
    return ok({ complete: true, rows })
  }

  async function readChanges(
    after: number,
  ): Promise<Result<NodeRowUpdate, PlatformError>> {
    const res = await store.changes(NODES_TABLE, after, 0)
    if (res.isOk()) {
      version = Math.max(version ?? 0, res.value.version)
      return ok({ complete: false, rows: res.value.changes })
    }
    if (res.error.failure !== 'compacted') return err(res.error)
    return readAll()
  }

  /**
   * Reads the history from its beginning in one call, if the store still has it. Otherwise, when
   * all nodes start for the first time, every node would read the part of every other.
   */
  async function readFirst(): Promise<Result<NodeRowUpdate, PlatformError>> {
    const first = await readChanges(0)
    return first.map(({ rows }) => ({ complete: true, rows }))
  }

  return {
    read: () => (version === undefined ? readFirst() : readChanges(version)),
    async readOne(id) {
      const found = await Promise.all(
        nodeKeys(id).map(({ table, part }) => store.read(table, part)),
      )
      const errors = found.flatMap((each) => (each.isErr() ? [each.error] : []))
      // A part that refuses the read is down; where the answer was lost, the row may be newer.
      const lost = errors.find(({ failure }) => failure !== 'refused')
      const [first] = errors
      if (lost ?? (first && errors.length === found.length)) return err(lost ?? first!)
      const rows = found.flatMap((each) => (each.isOk() ? each.value.rows : []))
      return ok(rows.sort((a, b) => b.version - a.version)[0])
    },
  }
}
