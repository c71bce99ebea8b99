/**
 * Merges drafts by cell. A draft's edits are applied to the head. An edit is a conflict
 * if someone else has changed the cell to another value since the draft's base.
 */
import type { RawTable } from './schema.js'

/** One edited cell. Value null clears the cell; in column `*` it removes the line. */
export interface CellEdit {
  row: string
  column: string
  value: string | null
  editor: string
}

/** Column value that denotes the whole line. */
export const WHOLE_LINE = '*'

/** Two conflicting edits of one cell. */
export interface CellConflict {
  row: string
  column: string
  mine: { editor: string; value: string | null }
  theirs: { editor: string; value: string | null }
}

/** A merged table. It must not be used if there are conflicts. */
export interface MergeResult {
  merged: RawTable
  conflicts: CellConflict[]
}

/** Applies edits to a copy of the table. */
export function applyEdits(table: RawTable, edits: readonly CellEdit[]): RawTable {
  const result: RawTable = structuredClone(table)
  for (const { row, column, value } of edits) applyEdit(result, row, column, value)
  return result
}

function applyEdit(
  table: RawTable,
  row: string,
  column: string,
  value: string | null,
): void {
  if (column === WHOLE_LINE) {
    delete table[row]
    return
  }
  if (value !== null) {
    table[row] = { ...table[row], [column]: value }
    return
  }
  delete table[row]?.[column]
  if (Object.keys(table[row] ?? {}).length === 0) delete table[row]
}

/**
 * Applies a draft to the head and lists its conflicts.
 * @param edits the draft's edits, made against its base.
 * @param acceptedSinceBase edits accepted after that base, oldest first.
 */
export function mergeDraft(
  head: RawTable,
  edits: readonly CellEdit[],
  acceptedSinceBase: readonly CellEdit[],
): MergeResult {
  const conflicts: CellConflict[] = []
  for (const edit of edits) {
    const latestOther = acceptedSinceBase.findLast((each) => touchesSameCell(each, edit))
    if (
      !latestOther ||
      (latestOther.value === edit.value && latestOther.column === edit.column)
    )
      continue
    const { row, column } = edit
    const mine = { editor: edit.editor, value: edit.value }
    const theirs = { editor: latestOther.editor, value: latestOther.value }
    conflicts.push({ row, column, mine, theirs })
  }
  return { merged: applyEdits(head, edits), conflicts }
}

function touchesSameCell(a: CellEdit, b: CellEdit): boolean {
  if (a.row !== b.row) return false
  return a.column === b.column || a.column === WHOLE_LINE || b.column === WHOLE_LINE
}

/** Returns the edits that turn one table into another. */
export function diffTables(from: RawTable, to: RawTable, editor: string): CellEdit[] {
  const edits: CellEdit[] = []
  for (const row of Object.keys(from)) {
    if (to[row]) continue
    edits.push({ row, column: WHOLE_LINE, value: null, editor })
  }
  for (const [row, cells] of Object.entries(to)) {
    const old = from[row] ?? {}
    const columns = new Set([...Object.keys(old), ...Object.keys(cells)])
    for (const column of columns) {
      const value = cells[column] ?? null
      if ((old[column] ?? null) === value) continue
      edits.push({ row, column, value, editor })
    }
  }
  return edits
}
