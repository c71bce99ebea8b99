/** Determines the rows that make the progress of a job durable. */
import {
  WITHHELD_PROGRESS,
  changeOfSegment,
  createLayout,
  encodeMain,
  encodeSmallProgress,
  progressKey,
  segmentsWithProgress,
} from '../jobs/index.js'
import type { Job, JobOutcome } from '../jobs/index.js'
import type { RowKey, RowTransaction, StoreLimits } from '../ports/index.js'
import { countBytes } from '../storeAccess/index.js'

/** Bytes of a row up to which the progress of a job is kept in one row. */
const MAX_SMALL_BYTES = 16 * 1024
/** Part of a transaction that the rows of one job may take, so that it goes with the main row. */
const TRANSACTION_SHARE = 0.8
/** Entries of a transaction besides the rows of segments: two of the main row, and the epoch. */
const OTHER_ENTRIES = 3

/** A write of the main row of a job, with rows of segments. */
export interface ProgressWrite {
  job: Job
  /** Outcome that becomes durable with it. */
  outcome: JobOutcome | undefined
  puts: RowTransaction['puts']
  removals: RowKey[]
}

const mainPut = ({ spec }: Job, value: string) => ({
  ...progressKey(spec.service, spec.id),
  value,
})

/** The write that marks the progress of a job as refused by the store. */
export const withheldWrite = (job: Job): ProgressWrite => ({
  job,
  outcome: undefined,
  puts: [mainPut(job, WITHHELD_PROGRESS)],
  removals: [],
})

/**
 * The writes, in order, of what has changed in the progress of a job since the last call; each has to be
 * carried out before the next.
 */
export function takeProgressWrites(job: Job, limits: StoreLimits): ProgressWrite[] {
  const { outcome } = job
  if (job.isWithheld && !outcome) return []
  const maxBytes = Math.min(MAX_SMALL_BYTES, limits.rowBytes)
  const small = job.layout && !outcome ? undefined : encodeSmallProgress(job, maxBytes)
  const changed = job.changedSegments
  job.changedSegments = new Set()
  if (small !== undefined)
    return [{ job, outcome, puts: [mainPut(job, small)], removals: [] }]
  const segments = job.layout ? changed : segmentsWithProgress(job)
  return writesOfSegments(job, segments, limits)
}

function writesOfSegments(
  job: Job,
  segments: ReadonlySet<number>,
  limits: StoreLimits,
): ProgressWrite[] {
  const layout = (job.layout ??= createLayout())
  const writes: ProgressWrite[] = []
  let puts: ProgressWrite['puts'] = []
  let removals: RowKey[] = []
  let bytes = 0

  /** Ends a write with the main row as it is after the changes so far. */
  function close(): void {
    layout.writes++
    const main = mainPut(job, encodeMain(layout))
    writes.push({ job, outcome: undefined, puts: [main, ...puts], removals })
    puts = []
    removals = []
    bytes = 0
  }

  function makeRoom(rowBytes: number): void {
    const entries = puts.length + removals.length + 1
    const isFull =
      entries > limits.entries - OTHER_ENTRIES ||
      bytes + rowBytes > limits.transactionBytes * TRANSACTION_SHARE
    if (entries > 1 && isFull) close()
    bytes += rowBytes
  }

  for (const segment of segments) {
    const change = changeOfSegment(job, layout, segment, limits.rowBytes)
    // The rows of a segment are independent of each other, and may go with different writes.
    for (const put of change.puts) {
      makeRoom(countBytes({ puts: [put] }))
      puts.push(put)
    }
    // The main row tells that the segment is done before its rows are removed, or together with that.
    change.record(layout)
    for (const key of change.removals) {
      makeRoom(countBytes({ removals: [key] }))
      removals.push(key)
    }
  }
  close()
  return writes
}
