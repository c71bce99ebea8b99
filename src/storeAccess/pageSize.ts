/**
 * Adaptive page sizes for reads of tables. A page should arrive within a fraction of the lease,
 * because lease renewals share the link and queue behind it: four pages of 320 kB on a link of
 * 1.4 Mbit/s delay them by 7 s.
 */

/** Time within which a page should arrive, in ms: a tenth of an owner's lease. */
const PAGE_TIME_MS = 100
/** Rows of the first page of a table. */
const FIRST_PAGE_ROWS = 16
/** Fewest rows per page. */
const MIN_ROWS = 4
/** Most rows per page: the limit of the store. */
const MAX_ROWS = 500
/** Largest factor by which the page size grows from one page to the next. */
const MAX_GROWTH = 4

/** Page sizes by table; each page adjusts the size of the next one. */
export interface PageSizes {
  /** Number of rows to ask for in the next page of a table. */
  nextPageRows(table: string): number
  /** Records the number of rows of a page and the time that it took, in ms. */
  note(table: string, rows: number, tookMs: number): void
}

/** Creates page sizes; each table starts with `FIRST_PAGE_ROWS`. */
export function createPageSizes(): PageSizes {
  const sizes = new Map<string, number>()
  const rowsOf = (table: string): number => sizes.get(table) ?? FIRST_PAGE_ROWS
  return {
    nextPageRows: rowsOf,
    note(table, rows, tookMs) {
      const size = rowsOf(table)
      // A quick short page does not show that a full page would be quick too.
      const isFull = rows >= size
      if (!isFull && tookMs <= PAGE_TIME_MS) return
      const fitting = Math.floor((Math.max(1, rows) * PAGE_TIME_MS) / Math.max(1, tookMs))
      const next = Math.min(fitting, size * MAX_GROWTH, MAX_ROWS)
      sizes.set(table, Math.max(MIN_ROWS, next))
    },
  }
}
