/** Epoch rows: the last owner of a service, and the term that fences earlier owners. */
import { z } from 'zod'
import type { RowKey, RowStore } from '../ports/index.js'
import { parseJson } from '../shared/index.js'

/** Table of epoch rows; the part is the service, as for the rows whose writes depend on them. */
export const EPOCH_TABLE = 'epochs'
const EPOCH_KEY = 'epoch'

const epochSchema = z.object({
  /** Empty when the last owner released the service. */
  node: z.string(),
  life: z.string(),
  /** Increases with each owner; the fencing token against orders of earlier owners. */
  term: z.int().min(0),
})
/** Contents of an epoch row. */
export type EpochRow = z.infer<typeof epochSchema>

/** Parses an epoch row; returns undefined when it has the wrong shape. */
export function decodeEpoch(value: string): EpochRow | undefined {
  return epochSchema.safeParse(parseJson(value)).data
}

/**
 * Returns a term above all earlier ones, for when the last one is unknown: the time in seconds.
 * Terms increase by one with each takeover, and there is less than one takeover a second.
 */
export const termByClock = (): number => Math.floor(Date.now() / 1000)

/** Key of the epoch row of a service. */
export const epochKey = (service: string): RowKey => ({
  table: EPOCH_TABLE,
  part: service,
  key: EPOCH_KEY,
})

/** Writes an epoch row if the stored one has the given version; 0 stands for no row. */
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

/** Whether a stored epoch row names the same owner as `row`. */
export function isSameOwner(value: string, row: EpochRow): boolean {
  const current = decodeEpoch(value)
  return current?.life === row.life && current.term === row.term
}
