/** Interface of the transactional row store, implemented by an adapter. */
import type { Result } from 'neverthrow'
import type { PlatformError } from '../shared/index.js'

/** Identifies one row. A transaction can change several rows of one part. */
export interface RowKey {
  table: string
  part: string
  key: string
}

/** A stored row. `version` is that of the transaction that last wrote it. */
export interface StoredRow extends RowKey {
  value: string
  version: number
}

/** A change of a row; `value` is undefined when the row was removed. */
export interface RowChange extends RowKey {
  value: string | undefined
  version: number
}

/** Condition on a row: it must have this version; 0 means that it must not exist. */
export interface RowCondition extends RowKey {
  version: number
}

/** Atomic: either all entries take effect or none does. All name the same part. */
export interface RowTransaction {
  conditions: RowCondition[]
  puts: (RowKey & { value: string })[]
  removals: RowKey[]
}

/** Outcome of a transaction. */
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
  /** Version to continue from. */
  version: number
}

/** Range of keys within a part; `until` is exclusive. */
export interface RowRange {
  from?: string
  until?: string
  /**
   * Number of rows after which the read ends. Pages are read whole, so that it may return more; with
   * fewer, there are no others in the range.
   */
  enoughRows?: number
}

/** Returns the range from `first` to `last`, both inclusive; without `last`, of one key. */
export function keyRange(first: string, last = first) {
  // No key sorts between a key and the same key followed by the lowest character.
  return { from: first, until: `${last}\u0000` }
}

/** Result of a store call; an error's `failure` tells whether it may have taken effect. */
export type StoreResult<T> = Promise<Result<T, PlatformError>>

/** Limits of the store; it refuses a transaction beyond one of them for good. */
export interface StoreLimits {
  /** Conditions, puts and removals of a transaction. */
  entries: number
  /** Bytes of a transaction as it is sent. */
  transactionBytes: number
  /** Bytes of the value of a row. */
  rowBytes: number
  /** Bytes of the name of a part and of a key. */
  nameBytes: number
}

/** Limits of a store that names no others. */
export const DEFAULT_STORE_LIMITS: StoreLimits = {
  entries: 100,
  transactionBytes: 1_000_000,
  rowBytes: 65_536,
  nameBytes: 200,
}

/** The store. A call fails when no bytes arrive for the adapter's time-out. */
export interface RowStore {
  /** Undefined for {@link DEFAULT_STORE_LIMITS}. */
  readonly limits?: StoreLimits
  commit(tx: RowTransaction): StoreResult<RowCommit>
  read(table: string, part: string, range?: RowRange): StoreResult<RowSnapshot>
  parts(table: string): StoreResult<string[]>
  /** Waits up to `waitMs` for a change. Fails as `compacted` when the history is gone. */
  changes(table: string, after: number, waitMs: number): StoreResult<RowChanges>
}

/** A store that reports when bytes arrive from it. */
export interface ObservedRowStore extends RowStore {
  /** Calls the listener when bytes of an answer arrive, also before it is complete. */
  onBytes(listener: () => void): void
}
