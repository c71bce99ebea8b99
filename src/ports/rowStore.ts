/** The transactional row store, as the product sees it. An adapter implements it. */
import type { Result } from 'neverthrow'
import type { PlatformError } from '../shared/index.js'

/** Names one row. Rows of one part can change together in a transaction. */
export interface RowKey {
  table: string
  part: string
  key: string
}

/** One row as read. `version` is that of the transaction that last wrote it. */
export interface StoredRow extends RowKey {
  value: string
  version: number
}

/** One entry of a change list; `value` is undefined when the row was removed. */
export interface RowChange extends RowKey {
  value: string | undefined
  version: number
}

/** Condition on a row: it must have this version; 0 means that it must not exist. */
export interface RowCondition extends RowKey {
  version: number
}

/** All of it takes effect, or nothing does. Every entry names the same part. */
export interface RowTransaction {
  conditions: RowCondition[]
  puts: (RowKey & { value: string })[]
  removals: RowKey[]
}

/** What became of a transaction. */
export type RowCommit =
  | { committed: true; version: number }
  /** A condition did not hold; `current` are the rows that the conditions name. */
  | { committed: false; current: StoredRow[] }

/** Rows of a part at one moment. */
export interface RowSnapshot {
  rows: StoredRow[]
  /** Newest version of the store at that moment. */
  version: number
}

/** Changes of a table after a version. */
export interface RowChanges {
  changes: RowChange[]
  /** Continue from here. */
  version: number
}

/** Range of keys within a part; `until` is not included. */
export interface RowRange {
  from?: string
  until?: string
}

/** The range of the keys from `first` to `last`, both included; of one key without `last`. */
export function keyRange(first: string, last = first): Required<RowRange> {
  // No key lies between one and the same with the lowest character behind it.
  return { from: first, until: `${last}\u0000` }
}

/** Answer of the store; what an error means for the effect stands in its `failure`. */
export type StoreResult<T> = Promise<Result<T, PlatformError>>

/** The store. A call ends when nothing was heard of it for the adapter's time limit. */
export interface RowStore {
  commit(tx: RowTransaction): StoreResult<RowCommit>
  read(table: string, part: string, range?: RowRange): StoreResult<RowSnapshot>
  parts(table: string): StoreResult<string[]>
  /** Waits up to `waitMs` for a change. Fails as `compacted` when history is gone. */
  changes(table: string, after: number, waitMs: number): StoreResult<RowChanges>
}

/** A store that tells of each sign of life. */
export interface ObservedRowStore extends RowStore {
  /** Calls the listener when bytes of an answer come, also before it is whole. */
  onBytes(listener: () => void): void
}
