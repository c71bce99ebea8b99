/** The table as a CSV sheet, for spreadsheets. */
import { parse } from 'csv-parse/sync'
import { stringify } from 'csv-stringify/sync'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { TableError, describeError } from '../shared/index.js'
import { allColumns, splitRow } from './schema.js'
import type { RawTable } from './schema.js'

const KEY_COLUMNS = ['kind', 'name']

/** Writes a sheet with one line per row, sorted, and a heading. */
export function exportCsv(table: RawTable): string {
  const columns = allColumns()
  const lines = Object.keys(table)
    .sort()
    .map((row) => {
      const { kind, name } = splitRow(row) ?? { kind: row, name: '' }
      return [kind, name, ...columns.map((column) => table[row]?.[column] ?? '')]
    })
  return stringify([[...KEY_COLUMNS, ...columns], ...lines])
}

/** Reads a sheet; empty cells are absent. Errors name the line and the column. */
export function importCsv(text: string): Result<RawTable, TableError> {
  let records: string[][]
  try {
    records = parse(text, { bom: true, skip_empty_lines: true, trim: true })
  } catch (cause) {
    return refuse(describeError(cause))
  }
  const [heading, ...lines] = records
  if (!heading) return refuse('the sheet is empty; a heading is required')
  const unknown = heading.filter(
    (each) => ![...KEY_COLUMNS, ...allColumns()].includes(each),
  )
  if (unknown.length > 0) return refuse(`line 1: unknown column '${unknown[0]}'`)
  const missing = KEY_COLUMNS.find((each) => !heading.includes(each))
  if (missing) return refuse(`line 1: column '${missing}' is missing`)
  if (new Set(heading).size < heading.length)
    return refuse('line 1: a column stands twice')

  const table: RawTable = {}
  for (const [index, line] of lines.entries()) {
    const cells = Object.fromEntries(heading.map((column, i) => [column, line[i] ?? '']))
    const row = `${cells['kind']}/${cells['name']}`
    const at = `line ${index + 2}`
    if (!splitRow(row)) return refuse(`${at}: '${row}' is no pool, service or wave`)
    if (table[row]) return refuse(`${at}: '${row}' stands twice`)
    const filled = Object.entries(cells).filter(
      ([column, value]) => !KEY_COLUMNS.includes(column) && value !== '',
    )
    table[row] = Object.fromEntries(filled)
  }
  return ok(table)
}

function refuse(reason: string): Result<never, TableError> {
  return err(new TableError(reason, { props: { step: 'table.import' } }))
}
