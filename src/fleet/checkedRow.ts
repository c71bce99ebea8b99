/** Validates row values, once per row: watches keep the same object until the row changes. */
import type { z } from 'zod'
import type { Row } from '../platform/index.js'

const checkedRows = new WeakMap<Row, unknown>()

/**
 * Returns the value of a row that matches the schema; undefined for a missing or invalid row.
 * @param onInvalid called the first time that an invalid row is checked
 */
export function checkedValue<T>(
  row: Row | undefined,
  schema: z.ZodType<T>,
  onInvalid?: () => void,
): T | undefined {
  if (!row) return undefined
  if (checkedRows.has(row)) return checkedRows.get(row) as T | undefined
  const checked = schema.safeParse(row.value)
  if (!checked.success) onInvalid?.()
  const value = checked.success ? checked.data : undefined
  checkedRows.set(row, value)
  return value
}
