/** Rows of epochs: the last owner of a service, and the term that fences earlier ones. */
import { z } from 'zod'
import type { RowKey, RowStore } from '../ports/index.js'
import { parseJson } from '../shared/index.js'

/** Rows of epochs; the part is the service, as for the rows that depend on them. */
export const EPOCH_TABLE = 'epochs'
const EPOCH_KEY = 'epoch'

const epochSchema = z.object({
  /** Empty when the last owner gave it up. */
  node: z.string(),
  life: z.string(),
  /** Rises with each owner; fences the orders of earlier ones. */
  term: z.int().min(0),
})
/** What an epoch row says. */
export type EpochRow = z.infer<typeof epochSchema>

/** Reads an epoch row; undefined when it has the wrong shape. */
export function decodeEpoch(value: string): EpochRow | undefined {
  return epochSchema.safeParse(parseJson(value)).data
}

/**
 * A term above all before, where the last one is not known: terms rise by one with each
 * takeover, of which there is not one a second.
 */
export const termByClock = (): number => Math.floor(Date.now() / 1000)

/** Where the epoch of a service lies. */
export const epochKey = (service: string): RowKey => ({
  table: EPOCH_TABLE,
  part: service,
  key: EPOCH_KEY,
})

/** Writes an epoch row over the version that is named; 0 for none. */
export function writeEpoch(
  store: RowStore,
  service: string,
  row: EpochRow,
  version: number,
): ReturnType<RowStore['commit']> {
  const key = epochKey(service)
  return store.commit({
    conditions: [{ ...key, version }],
    puts: [{ ...key, value: JSON.stringify(row) }],
    removals: [],
  })
}

/** Whether a row names the same owner as ours. */
export function isSameOwner(value: string, row: EpochRow): boolean {
  const current = decodeEpoch(value)
  return current?.life === row.life && current.term === row.term
}
