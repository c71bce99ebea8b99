/** Reads the progress of jobs from their main rows and the rows of their segments. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import {
  PROGRESS_PARTS_TABLE,
  PROGRESS_TABLE,
  decodeProgress,
  decodeSegment,
  progressKey,
  progressPartKey,
} from '../jobs/index.js'
import type { Progress, SegmentProgress, SegmentRows } from '../jobs/index.js'
import { keyRange } from '../ports/index.js'
import type { RowKey, RowStore, StoredRow } from '../ports/index.js'
import type { PlatformError } from '../shared/index.js'

/** The progress of a job, and the version of its main row. */
export interface StoredProgress {
  progress: Progress
  segments: SegmentRows
  version: number
}

/** The rows of the progress of one job. */
export interface ProgressRows {
  /** Undefined if a row cannot be read, or the main row is missing. */
  stored: StoredProgress | undefined
  /** Why they cannot be read; undefined if they can. */
  problem: string | undefined
  /** Keys of all rows. */
  keys: RowKey[]
}

/** Separates the id of a job from the rest of the key of a segment's row. */
const SEPARATOR = '/'

function decodeRows(main: StoredRow | undefined, parts: StoredRow[]): ProgressRows {
  const keys = [...(main ? [main] : []), ...parts].map(({ table, part, key }) => ({
    table,
    part,
    key,
  }))
  const unreadable = (problem: string): ProgressRows => ({
    stored: undefined,
    problem,
    keys,
  })
  if (!main) return unreadable('its main row is missing')
  const progress = decodeProgress(main.value)
  if (!progress) return unreadable('its row cannot be read')
  const segments = new Map<string, SegmentProgress>()
  for (const { key, value } of parts) {
    const segment = decodeSegment(value)
    if (!segment) return unreadable(`its row ${key} cannot be read`)
    segments.set(key.slice(key.indexOf(SEPARATOR) + 1), segment)
  }
  const { version } = main
  return { stored: { progress, segments, version }, problem: undefined, keys }
}

/** Reads the progress of all jobs of a service, by job id. */
export async function readAllProgress(
  store: RowStore,
  service: string,
): Promise<Result<Map<string, ProgressRows>, PlatformError>> {
  const [mains, parts] = await Promise.all([
    store.read(PROGRESS_TABLE, service),
    store.read(PROGRESS_PARTS_TABLE, service),
  ])
  if (mains.isErr()) return err(mains.error)
  if (parts.isErr()) return err(parts.error)
  const partsOf = new Map<string, StoredRow[]>()
  for (const row of parts.value.rows) {
    const id = row.key.slice(0, row.key.indexOf(SEPARATOR))
    partsOf.set(id, [...(partsOf.get(id) ?? []), row])
  }
  const found = new Map<string, ProgressRows>()
  for (const main of mains.value.rows)
    found.set(main.key, decodeRows(main, partsOf.get(main.key) ?? []))
  for (const [id, rows] of partsOf)
    if (!found.has(id)) found.set(id, decodeRows(undefined, rows))
  return ok(found)
}

/** Reads the progress of one job; undefined if it has none. */
export async function readProgressOf(
  store: RowStore,
  service: string,
  id: string,
): Promise<Result<ProgressRows | undefined, PlatformError>> {
  const { part, key } = progressKey(service, id)
  const from = progressPartKey(service, id, '').key
  // '0' is the character after the separator.
  const range = { from, until: `${from.slice(0, -1)}0` }
  const [mains, parts] = await Promise.all([
    store.read(PROGRESS_TABLE, part, keyRange(key)),
    store.read(PROGRESS_PARTS_TABLE, part, range),
  ])
  if (mains.isErr()) return err(mains.error)
  if (parts.isErr()) return err(parts.error)
  const [main] = mains.value.rows
  if (!main && parts.value.rows.length === 0) return ok(undefined)
  return ok(decodeRows(main, parts.value.rows))
}
