/**
 * Log lines about rows that cannot be read: one for each row and change, however often the
 * row is read or written in between.
 */
import type { Logger } from './logger.js'
import { cutText } from './utils.js'

/** Longest reason in a line, in characters: a schema names each of a thousand wrong parts. */
const MAX_REASON_CHARS = 300
/** Longest key in a line, in characters. */
const MAX_KEY_CHARS = 200
/** Rows that are remembered at most; the oldest is forgotten, and told again. */
const MAX_REMEMBERED_ROWS = 2000

/** The rows of one table that cannot be read. */
export interface UnreadRows {
  /** The row cannot be read; a line is written when that is new, or for another reason. */
  note(key: string, reason: string): void
  /** The row can be read, or is gone. */
  clear(key: string): void
}

/** Starts with no such row. */
export function createUnreadRows(log: Logger, table: string): UnreadRows {
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
