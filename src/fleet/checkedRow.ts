/** Values of rows, each row checked once: watches keep the same object until it changes. */
import type { z } from 'zod'
import type { Row } from '../platform/index.js'

const checkedRows = new WeakMap<Row, unknown>()

/**
 * The row's value if it has the shape; undefined for no row or a wrong one.
 * @param onInvalid called the first time that a wrong row is looked at.
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
