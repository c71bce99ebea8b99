/**
 * The accepted table in force in this process. Its epoch only increases, whatever the
 * store or a peer offers, and it is replaced as a whole, between requests.
 */
import type { Logger } from '../shared/index.js'
import type { AcceptedTable } from './records.js'
import { hashTable } from './records.js'
import { checkTable } from './schema.js'
import type { Table } from './schema.js'

/** The table in force, both as accepted and parsed. */
export interface TableInForce {
  epoch: number
  accepted: AcceptedTable
  table: Table
}

/** Source of an offered table. */
export type TableSource = 'platform' | 'peer'

/** Holds the table in force. */
export interface TableHolder {
  /** Undefined until the first accepted table arrives. */
  current(): TableInForce | undefined
  /**
   * Puts a table in force if its epoch is higher, its hash matches and its cells are
   * valid. Returns whether it did.
   */
  offer(accepted: AcceptedTable, source: TableSource): boolean
  /** Calls the listener after every change. Returns an unsubscribe function. */
  subscribe(listener: (now: TableInForce) => void): () => void
}

/** Creates a holder that has no table yet. */
export function createTableHolder(log: Logger): TableHolder {
  let current: TableInForce | undefined
  const listeners = new Set<(now: TableInForce) => void>()

  return {
    current: () => current,
    offer(accepted, source) {
      const { epoch, acceptId, hash, raw } = accepted
      if (epoch <= (current?.epoch ?? 0)) return false
      if (hashTable(epoch, raw) !== hash) {
        log.event('epochIgnored', { epoch, source, reason: 'hash does not match' })
        return false
      }
      const checked = checkTable(raw)
      if (checked.isErr()) {
        log.event('tableInvalid', { epoch, source, errors: checked.error })
        return false
      }
      const previous = current?.epoch ?? 0
      current = { epoch, accepted, table: checked.value }
      log.event('epochInForce', { epoch, previous, acceptId, source })
      for (const listener of listeners) listener(current)
      return true
    },
    subscribe(listener) {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
  }
}
