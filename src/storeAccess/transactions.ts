/** Keeps transactions within the limits of the store, which refuses larger ones for good. */
import { DEFAULT_STORE_LIMITS } from '../ports/index.js'
import type { RowKey, RowStore, RowTransaction, StoreLimits } from '../ports/index.js'

/** Bytes of an entry besides its names and its value: field names, quotes, version. */
const ENTRY_BYTES = 100
/** Bytes of a transaction besides its entries. */
const TRANSACTION_BYTES = 200
/** Base64 takes four bytes for three. */
const BASE64_FACTOR = 4 / 3

/** The limits of a store. */
export const limitsOf = ({ limits = DEFAULT_STORE_LIMITS }: RowStore): StoreLimits =>
  limits

/** Part of a transaction. */
export type PartialTransaction = Partial<RowTransaction>

const nameBytes = ({ table, part, key }: RowKey): number =>
  Buffer.byteLength(table) + Buffer.byteLength(part) + Buffer.byteLength(key)

const countEntries = ({
  conditions = [],
  puts = [],
  removals = [],
}: PartialTransaction): number => conditions.length + puts.length + removals.length

/** Bytes that entries take in a transaction as it is sent, or a little more. */
export function countBytes({
  conditions = [],
  puts = [],
  removals = [],
}: PartialTransaction): number {
  let bytes = 0
  for (const entry of conditions) bytes += ENTRY_BYTES + nameBytes(entry)
  for (const entry of removals) bytes += ENTRY_BYTES + nameBytes(entry)
  for (const entry of puts)
    bytes +=
      ENTRY_BYTES + nameBytes(entry) + Buffer.byteLength(entry.value) * BASE64_FACTOR
  return bytes
}

/** Describes why a name or a value exceeds a limit; undefined if none does. */
function describeRowExcess(
  { conditions = [], puts = [], removals = [] }: PartialTransaction,
  limits: StoreLimits,
): string | undefined {
  for (const { table, part, key } of [...conditions, ...puts, ...removals]) {
    const name = [part, key].find((each) => Buffer.byteLength(each) > limits.nameBytes)
    if (name !== undefined)
      return `a name in table ${table} is longer than ${limits.nameBytes} bytes`
  }
  const row = puts.find(({ value }) => Buffer.byteLength(value) > limits.rowBytes)
  return row && `row ${row.key} of table ${row.table} exceeds ${limits.rowBytes} bytes`
}

/** Describes which limit of the store a transaction exceeds; undefined if none. */
export function describeExcess(
  tx: PartialTransaction,
  limits: StoreLimits,
): string | undefined {
  const entries = countEntries(tx)
  if (entries > limits.entries)
    return `${entries} entries, ${limits.entries} are allowed in a transaction`
  const bytes = Math.ceil(countBytes(tx) + TRANSACTION_BYTES)
  if (bytes > limits.transactionBytes)
    return `${bytes} bytes, ${limits.transactionBytes} are allowed in a transaction`
  return describeRowExcess(tx, limits)
}

/** Largest number of keys of a transaction in the log. */
const MAX_LOGGED_KEYS = 3

/** The rows of a transaction, for the log. */
export function describeTransaction({ puts, removals }: RowTransaction) {
  const rows = [...puts, ...removals]
  const tables = [...new Set(rows.map(({ table }) => table))].join(' ')
  const keys = rows.slice(0, MAX_LOGGED_KEYS).map(({ key }) => key)
  return { tables, part: rows[0]?.part, rows: rows.length, keys: keys.join(' ') }
}

/** Groups changes into transactions. */
export interface Batches<T> {
  /** The changes at the front that fit into one transaction; at least one if there is one. */
  next(items: Iterable<T>): T[]
  /**
   * Takes note that the store has refused a batch for good. Smaller batches follow until the change at
   * fault is alone; it is returned then.
   */
  noteRejected(batch: readonly T[]): T | undefined
}

/** Dependencies of the batches of one writer. */
export interface BatchesOptions<T> {
  store: RowStore
  /** What a change adds to its transaction. */
  changeOf(item: T): PartialTransaction
  /** What each transaction has besides. */
  common?(): PartialTransaction
}

/** Creates batches by the limits of the store. */
export function createBatches<T>(opts: BatchesOptions<T>): Batches<T> {
  const limits = limitsOf(opts.store)
  /** Largest number of changes in a batch while one at fault is searched for. */
  let most = Infinity

  return {
    next(items) {
      const common = opts.common?.() ?? {}
      let entries = countEntries(common)
      let bytes = countBytes(common) + TRANSACTION_BYTES
      const batch: T[] = []
      for (const item of items) {
        const change = opts.changeOf(item)
        entries += countEntries(change)
        bytes += countBytes(change)
        const fits = entries <= limits.entries && bytes <= limits.transactionBytes
        if (batch.length > 0 && (!fits || batch.length >= most)) break
        batch.push(item)
      }
      return batch
    },
    noteRejected(batch) {
      if (batch.length > 1) {
        most = Math.ceil(batch.length / 2)
        return undefined
      }
      most = Infinity
      return batch[0]
    },
  }
}
