/**
 * Logs invalid rows: one line when a row becomes invalid or valid again or the reason changes,
 * however often the row is read or written in between.
 */
import type { Logger } from './logger.js'
import { cutText } from './utils.js'

/** Longest reason in a line, in characters; a schema may name a thousand invalid parts. */
const MAX_REASON_CHARS = 300
/** Longest key in a line, in characters. */
const MAX_KEY_CHARS = 200
/** Most rows that are remembered; the oldest is forgotten, and is logged again when read. */
const MAX_REMEMBERED_ROWS = 2000

/** The invalid rows of one table. */
export interface InvalidRows {
  /** Records that the row is invalid; logs it when that or the reason is new. */
  note(key: string, reason: string): void
  /** Records that the row is valid or was removed. */
  clear(key: string): void
}

/** Creates the record with no invalid row. */
export function createInvalidRows(log: Logger, table: string): InvalidRows {
  const reasons = new Map<string, string>()

  function evictOldest(): void {
    if (reasons.size < MAX_REMEMBERED_ROWS) return
    const [oldest] = reasons.keys()
    if (oldest !== undefined) reasons.delete(oldest)
  }

  const eventFields = (key: string) => ({ table, key: cutText(key, MAX_KEY_CHARS) })

  return {
    note(key, text) {
      const reason = cutText(text, MAX_REASON_CHARS)
      if (reasons.get(key) === reason) return
      evictOldest()
      reasons.set(key, reason)
      log.event('rowInvalid', { ...eventFields(key), reason })
    },
    clear(key) {
      if (reasons.delete(key)) log.event('rowMended', eventFields(key))
    },
  }
}
