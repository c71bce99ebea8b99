/**
 * How many rows of a table to ask for at once. A page should come within a fraction of the
 * lease: renewals share the link with it, and wait behind it. Four pages of 320 kB on a link
 * of 1.4 Mbit/s held them up for 7 s.
 */

/** Time in which a page should come, in ms: a tenth of an owner's lease. */
const PAGE_TIME_MS = 100
/** Rows of the first page of a table of which nothing is known. */
const FIRST_PAGE_ROWS = 16
/** Fewest rows of a page. */
const MIN_ROWS = 4
/** Most rows of a page: the store gives no more. */
const MAX_ROWS = 500
/** Most times by which one page may be larger than the last one. */
const MAX_GROWTH = 4

/** Learns from each page how large the next one may be. */
export interface PageSizes {
  rowsOf(table: string): number
  /** A page with so many rows has taken so long. */
  note(table: string, rows: number, tookMs: number): void
}

/** Creates page sizes that know of no table yet. */
export function createPageSizes(): PageSizes {
  const sizes = new Map<string, number>()
  const rowsOf = (table: string): number => sizes.get(table) ?? FIRST_PAGE_ROWS
  return {
    rowsOf,
    note(table, rows, tookMs) {
      const size = rowsOf(table)
      // A short page shows what time it takes, but not that a longer one would be quick.
      const isFull = rows >= size
      if (!isFull && tookMs <= PAGE_TIME_MS) return
      const fitting = Math.floor((Math.max(1, rows) * PAGE_TIME_MS) / Math.max(1, tookMs))
      const next = Math.min(fitting, size * MAX_GROWTH, MAX_ROWS)
      sizes.set(table, Math.max(MIN_ROWS, next))
    },
  }
}
