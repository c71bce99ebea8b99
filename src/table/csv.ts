/** Imports and exports the table as a CSV sheet. */
import { parse } from 'csv-parse/sync'
import { stringify } from 'csv-stringify/sync'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { TableError, describeError } from '../shared/index.js'
import { allColumns, splitLineKey } from './schema.js'
import type { RawTable } from './schema.js'

const KEY_COLUMNS = ['kind', 'name']

/** Writes a sheet: a heading, then one line per row, sorted. */
export function exportCsv(table: RawTable): string {
  const columns = allColumns()
  const lines = Object.keys(table)
    .sort()
    .map((row) => {
      const { kind, name } = splitLineKey(row) ?? { kind: row, name: '' }
      return [kind, name, ...columns.map((column) => table[row]?.[column] ?? '')]
    })
  return stringify([[...KEY_COLUMNS, ...columns], ...lines])
}

/** Parses a sheet; empty cells are left out. Errors name the line and the wrong column. */
export function importCsv(text: string): Result<RawTable, TableError> {
  let records: string[][]
  try {
    records = parse(text, { bom: true, skip_empty_lines: true, trim: true })
  } catch (cause) {
    return importError(describeError(cause))
  }
  const [heading, ...lines] = records
  if (!heading) return importError('the sheet is empty; a heading is required')
  const unknown = heading.filter(
    (each) => ![...KEY_COLUMNS, ...allColumns()].includes(each),
  )
  if (unknown.length > 0) return importError(`line 1: unknown column '${unknown[0]}'`)
  const missing = KEY_COLUMNS.find((each) => !heading.includes(each))
  if (missing) return importError(`line 1: column '${missing}' is missing`)
  if (new Set(heading).size < heading.length)
    return importError('line 1: a column stands twice')

  const table: RawTable = {}
  for (const [index, line] of lines.entries()) {
    const cells = Object.fromEntries(heading.map((column, i) => [column, line[i] ?? '']))
    const row = `${cells['kind']}/${cells['name']}`
    const position = `line ${index + 2}`
    if (!splitLineKey(row))
      return importError(`${position}: '${row}' is not a pool, service or wave`)
    if (table[row]) return importError(`${position}: '${row}' stands twice`)
    const filledCells = Object.entries(cells).filter(
      ([column, value]) => !KEY_COLUMNS.includes(column) && value !== '',
    )
    table[row] = Object.fromEntries(filledCells)
  }
  return ok(table)
}

function importError(reason: string): Result<never, TableError> {
  return err(new TableError(reason, { props: { step: 'table.import' } }))
}
