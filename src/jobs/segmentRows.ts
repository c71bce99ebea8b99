/**
 * Progress of a large job: one main row with the segments that are done, and small rows for those that
 * are not. A write has the rows that have changed, and the main row, whose version guards all of them.
 */
import { z } from 'zod'
import type { RowKey } from '../ports/index.js'
import { createRangeSet, parseJson } from '../shared/index.js'
import type { Range, RangeSet } from '../shared/index.js'
import type { Job, Task } from './job.js'
import { MAX_FAILED_RUNS, crashRoleSchema, progressPartKey } from './records.js'
import {
  boundsOf,
  positionOf,
  segmentAt,
  taskAt,
  tasksPerOccurrence,
  totalTasks,
} from './segments.js'

/** Bytes from which the details of a segment's tasks get rows of their own. */
const MAX_INLINE_BYTES = 8 * 1024

const runSchema = z.int().min(0)
const byPosition = <T extends z.ZodType>(value: T) => z.record(z.string(), value)

/** Row of a segment, or with the details of one of its tasks. Positions count from its first task. */
const segmentSchema = z.object({
  done: z.array(z.tuple([z.int().min(0), z.int().min(0)])).default([]),
  failedRuns: byPosition(z.array(runSchema).max(MAX_FAILED_RUNS)).default({}),
  crashes: byPosition(
    z.array(z.tuple([runSchema, crashRoleSchema])).max(MAX_FAILED_RUNS),
  ).default({}),
  checkpoints: byPosition(z.string()).default({}),
})
/** A decoded row of a segment. */
export type SegmentProgress = z.infer<typeof segmentSchema>

/** Decodes a row of a segment; undefined if it has the wrong shape. */
export const decodeSegment = (value: string): SegmentProgress | undefined =>
  segmentSchema.safeParse(parseJson(value)).data

/** How the progress of a large job is stored. */
export interface SegmentLayout {
  /** Segments that are done; they have no rows. */
  done: RangeSet
  /** Keys of the rows of other segments. */
  keys: Map<number, string[]>
  /** Number of writes, which tells the values of the main row apart. */
  writes: number
}

/** Creates the layout of a job whose progress is not stored in segments yet. */
export const createLayout = (done: readonly Readonly<Range>[] = []): SegmentLayout => ({
  done: createRangeSet(done),
  keys: new Map(),
  writes: 0,
})

/** Encodes the main row of a large job. Earlier software versions hold a job with such a row. */
export const encodeMain = ({ done, writes }: SegmentLayout): string =>
  JSON.stringify({ segmented: 1, done: done.ranges(), writes })

/** Segments of a job in which some task has progress. */
export function segmentsWithProgress(job: Job): Set<number> {
  const segments = new Set<number>()
  const last = segmentAt(totalTasks(job.spec) - 1)
  const addRange = (from: number, to: number): void => {
    for (let each = segmentAt(from); each <= Math.min(last, segmentAt(to)); each++)
      segments.add(each)
  }
  const tasks = tasksPerOccurrence(job.spec)
  for (const [first, end] of job.doneOccurrences.ranges())
    addRange(first * tasks, (end + 1) * tasks - 1)
  for (const { number } of job.occurrences)
    addRange(number * tasks, (number + 1) * tasks - 1)
  return segments
}

/** What is kept of a task besides whether it is done. */
interface TaskDetails {
  failedRuns?: number[]
  crashes?: [number, string][]
  checkpoint?: string
}

function detailsOf(task: Task): TaskDetails | undefined {
  const isIdle = task.phase === 'ready' || task.phase === 'blocked'
  const details: TaskDetails = {
    ...(task.failedRuns.size > 0 && {
      failedRuns: [...task.failedRuns].slice(-MAX_FAILED_RUNS),
    }),
    ...(task.crashes.size > 0 && { crashes: [...task.crashes].slice(-MAX_FAILED_RUNS) }),
    ...(isIdle && task.checkpoint !== '' && { checkpoint: task.checkpoint }),
  }
  return Object.keys(details).length > 0 ? details : undefined
}

/** Encodes the details of tasks by position. */
function encodeDetails(
  tasks: ReadonlyMap<number, TaskDetails>,
  done: readonly Range[] = [],
): string {
  const pick = <K extends keyof TaskDetails>(name: K) =>
    Object.fromEntries(
      [...tasks].flatMap(([position, details]) =>
        details[name] === undefined ? [] : [[position, details[name]]],
      ),
    )
  const row = {
    ...(done.length > 0 && { done }),
    failedRuns: pick('failedRuns'),
    crashes: pick('crashes'),
    checkpoints: pick('checkpoint'),
  }
  const isFilled = ([, value]: [string, object]): boolean => Object.keys(value).length > 0
  return JSON.stringify(Object.fromEntries(Object.entries(row).filter(isFilled)))
}

/** Details of one task, cut until they fit into a row. */
function encodeTask(position: number, details: TaskDetails, rowBytes: number): string {
  const fits = (text: string): boolean => Buffer.byteLength(text) <= rowBytes
  const whole = encodeDetails(new Map([[position, details]]))
  if (fits(whole)) return whole
  const { failedRuns, crashes } = details
  for (let count = MAX_FAILED_RUNS; count > 0; count = Math.floor(count / 2)) {
    const cut = {
      ...(failedRuns && { failedRuns: failedRuns.slice(-count) }),
      ...(crashes && { crashes: crashes.slice(-count) }),
    }
    const text = encodeDetails(new Map([[position, cut]]))
    if (fits(text)) return text
  }
  return encodeDetails(new Map())
}

/** Values of the rows of a segment by key; undefined if all of its tasks are done. */
function encodeSegment(
  job: Job,
  segment: number,
  rowBytes: number,
): Map<string, string> | undefined {
  const [first, end] = boundsOf(job.spec, segment)
  const done = createRangeSet()
  const details = new Map<number, TaskDetails>()
  for (let position = first; position < end; position++) {
    const task = taskAt(job, position)
    if (task === 'done') done.add(position - first)
    const kept = task && task !== 'done' ? detailsOf(task) : undefined
    if (kept) details.set(position - first, kept)
  }
  if (done.size === end - first) return undefined
  const ranges = done.ranges() as Range[]
  const rows = new Map<string, string>()
  const inline = encodeDetails(details, ranges)
  if (Buffer.byteLength(inline) <= Math.min(MAX_INLINE_BYTES, rowBytes))
    return rows.set(String(segment), inline)
  rows.set(String(segment), encodeDetails(new Map(), ranges))
  for (const [position, each] of details)
    rows.set(`${segment}.${position}`, encodeTask(position, each, rowBytes))
  return rows
}

/** Rows of one segment to be written and removed. */
export interface SegmentChange {
  segment: number
  puts: (RowKey & { value: string })[]
  removals: RowKey[]
  /** Records the change in the layout, for the main row that is written with it. */
  record(layout: SegmentLayout): void
}

/** The change of a segment since its rows were last written. */
export function changeOfSegment(
  job: Job,
  layout: SegmentLayout,
  segment: number,
  rowBytes: number,
): SegmentChange {
  const { service, id } = job.spec
  const rows = encodeSegment(job, segment, rowBytes)
  const keyOf = (key: string): RowKey => progressPartKey(service, id, key)
  const stale = (layout.keys.get(segment) ?? []).filter((key) => !rows?.has(key))
  return {
    segment,
    puts: [...(rows ?? [])].map(([key, value]) => ({ ...keyOf(key), value })),
    removals: stale.map(keyOf),
    record({ done, keys }) {
      if (rows) keys.set(segment, [...rows.keys()])
      else {
        keys.delete(segment)
        done.add(segment)
      }
    },
  }
}

/** Notes that the progress of a task has changed. */
export const noteChanged = (task: Task): void =>
  void task.step.job.changedSegments.add(segmentAt(positionOf(task)))
