/** Converts between a job's state and the rows of its progress. */
import { addCrash } from './crashes.js'
import {
  closeOccurrence,
  findOccurrence,
  isStepDone,
  occurrencesOf,
  openOccurrence,
} from './job.js'
import type { Job, Occurrence, Step, Task } from './job.js'
import type { Progress } from './records.js'
import { SEGMENT_TASKS, placeAt, tasksPerOccurrence, totalTasks } from './segments.js'
import { createLayout } from './segmentRows.js'
import type { SegmentProgress } from './segmentRows.js'
import { createRangeSet } from '../shared/index.js'
import type { RangeSet } from '../shared/index.js'

/** Least bytes that a done step or task takes in the row. */
const DONE_STEP_BYTES = 10
const DONE_TASK_BYTES = 2

/** Encodes the progress of a job as one row, which earlier software versions read too. */
export function encodeProgress(job: Job): string {
  const progress: Progress = { done: {}, failedRuns: {}, crashes: {}, checkpoints: {} }
  if (job.outcome) progress.outcome = job.outcome
  if (job.endedAtMs !== undefined) progress.endedAtMs = job.endedAtMs
  // No task of a finished job is started again, so its row needs no details.
  if (job.outcome) return JSON.stringify(progress)
  for (const [first, last] of job.doneOccurrences.ranges()) {
    for (let number = first; number <= last; number++)
      for (const index of job.spec.steps.keys())
        progress.done[`${number}.${index}`] = 'all'
  }
  for (const occurrence of job.occurrences) {
    for (const step of occurrence.steps) addStepProgress(progress, step)
  }
  return JSON.stringify(progress)
}

/** The same if it has at most so many bytes; undefined if it has more. */
export function encodeSmallProgress(job: Job, maxBytes: number): string | undefined {
  if (!job.outcome && leastBytes(job) > maxBytes) return undefined
  const value = encodeProgress(job)
  return Buffer.byteLength(value) <= maxBytes ? value : undefined
}

/** Bytes that the row of a job has at least. */
function leastBytes({ spec, doneOccurrences, occurrences }: Job): number {
  let bytes = doneOccurrences.size * spec.steps.length * DONE_STEP_BYTES
  for (const { steps } of occurrences)
    for (const step of steps)
      if (!isStepDone(step)) bytes += step.doneCount * DONE_TASK_BYTES
  return bytes
}

function addStepProgress(progress: Progress, step: Step): void {
  const stepName = `${step.occurrence}.${step.index}`
  if (isStepDone(step)) progress.done[stepName] = 'all'
  else if (step.doneCount > 0) {
    const done = step.tasks.filter(({ phase }) => phase === 'done')
    progress.done[stepName] = done.map(({ index }) => index)
  }
  for (const task of step.tasks) {
    const name = `${stepName}.${task.index}`
    if (task.failedRuns.size > 0) progress.failedRuns[name] = [...task.failedRuns]
    if (task.crashes.size > 0) progress.crashes[name] = [...task.crashes]
    const isIdle = task.phase === 'ready' || task.phase === 'blocked'
    if (isIdle && task.checkpoint !== '') progress.checkpoints[name] = task.checkpoint
  }
}

/** Rows of the segments of a job, by the end of their keys. */
export type SegmentRows = ReadonlyMap<string, SegmentProgress>

/** Sets the state of a newly created job from the rows of its progress. */
export function restoreProgress(
  job: Job,
  progress: Progress,
  rows: SegmentRows = new Map(),
): void {
  job.outcome = progress.outcome
  job.durableOutcome = progress.outcome
  job.endedAtMs = progress.endedAtMs
  job.begun ||= progress.segments !== undefined || Object.keys(progress.done).length > 0
  if (progress.segments || rows.size > 0) restoreLayout(job, progress, rows)
  if (job.outcome) return
  if (progress.segments) restoreSegments(job, rows)
  else restoreNamed(job, progress)
  for (const occurrence of [...job.occurrences]) settle(job, occurrence)
}

/** Counts the steps of an occurrence that are done. */
function settle(job: Job, occurrence: Occurrence): void {
  for (const step of occurrence.steps) if (isStepDone(step)) step.tasks = []
  occurrence.openSteps = occurrence.steps.filter((step) => !isStepDone(step)).length
  if (occurrence.openSteps === 0) closeOccurrence(job, occurrence.number)
}

function markDone(task: Task): void {
  if (task.phase === 'done') return
  const { step } = task
  task.phase = 'done'
  step.doneCount++
  // A done task that remained a suspect would keep the other tasks of its step from starting.
  step.crashSuspects.delete(task)
}

/** What rows tell of a task besides whether it is done. */
interface StoredDetails {
  failedRuns: Progress['failedRuns'][string] | undefined
  crashes: Progress['crashes'][string] | undefined
  checkpoint: string | undefined
}

function restoreDetails(task: Task, details: StoredDetails): void {
  const { failedRuns, crashes = [], checkpoint } = details
  if (failedRuns) task.failedRuns = new Set([...task.failedRuns, ...failedRuns])
  for (const [run, role] of crashes) addCrash(task, run, role)
  task.run = Math.max(0, ...task.failedRuns, ...task.crashes.keys())
  task.checkpoint = checkpoint ?? task.checkpoint
}

/** Restores a job from one row with the names of its tasks. */
function restoreNamed(job: Job, progress: Progress): void {
  for (const number of occurrencesIn(progress)) {
    if (!(number >= 0 && number < occurrencesOf(job.spec))) continue
    const isDone = job.spec.steps.every(
      (_, index) => progress.done[`${number}.${index}`] === 'all',
    )
    if (isDone) closeOccurrence(job, number)
    else for (const step of openOccurrence(job, number).steps) restoreStep(progress, step)
  }
}

/** Numbers of the occurrences that a progress row names. */
function occurrencesIn(progress: Progress): Set<number> {
  const { done, failedRuns, crashes, checkpoints } = progress
  const names = [done, failedRuns, crashes, checkpoints].flatMap((each) =>
    Object.keys(each),
  )
  return new Set(names.map((name) => Number(name.slice(0, name.indexOf('.')))))
}

function restoreStep(progress: Progress, step: Step): void {
  const stepName = `${step.occurrence}.${step.index}`
  const stored = progress.done[stepName]
  const done = new Set(stored === 'all' ? [] : stored)
  for (const task of step.tasks) {
    const name = `${stepName}.${task.index}`
    restoreDetails(task, {
      failedRuns: progress.failedRuns[name],
      crashes: progress.crashes[name],
      checkpoint: progress.checkpoints[name],
    })
    if (stored === 'all' || done.has(task.index)) markDone(task)
  }
}

const segmentOfKey = (key: string): number => Number(key.split('.')[0])

/** Notes which rows the job has, so that they are replaced or removed. */
function restoreLayout(job: Job, { segments }: Progress, rows: SegmentRows): void {
  const layout = createLayout(segments?.done)
  layout.writes = segments?.writes ?? 0
  for (const key of rows.keys()) {
    const segment = segmentOfKey(key)
    layout.keys.set(segment, [...(layout.keys.get(segment) ?? []), key])
  }
  job.layout = layout
}

/** Restores a job from the rows of its segments. */
function restoreSegments(job: Job, rows: SegmentRows): void {
  const done = createRangeSet()
  const end = totalTasks(job.spec) - 1
  for (const [first, last] of job.layout?.done.ranges() ?? [])
    done.addRange([first * SEGMENT_TASKS, Math.min((last + 1) * SEGMENT_TASKS - 1, end)])
  for (const [key, row] of rows) {
    const first = segmentOfKey(key) * SEGMENT_TASKS
    for (const [from, to] of row.done)
      done.addRange([first + from, Math.min(first + to, end)])
  }
  restoreDone(job, done)
  for (const [key, row] of rows) restoreRow(job, segmentOfKey(key), row)
}

/** Marks the tasks at the positions as done. */
function restoreDone(job: Job, done: RangeSet): void {
  const tasks = tasksPerOccurrence(job.spec)
  for (const [from, to] of done.ranges()) {
    const firstWhole = Math.ceil(from / tasks)
    const lastWhole = Math.floor((to + 1) / tasks) - 1
    job.doneOccurrences.addRange([firstWhole, lastWhole])
    for (const number of new Set([Math.floor(from / tasks), Math.floor(to / tasks)])) {
      if (number >= firstWhole && number <= lastWhole) continue
      const end = Math.min(to, (number + 1) * tasks - 1)
      for (let each = Math.max(from, number * tasks); each <= end; each++) {
        const task = taskToRestore(job, each)
        if (task) markDone(task)
      }
    }
  }
}

/** The task at a position; undefined if there is none, or its occurrence is done. */
function taskToRestore(job: Job, position: number): Task | undefined {
  if (!(position >= 0 && position < totalTasks(job.spec))) return undefined
  const { occurrence: number, step, index } = placeAt(job.spec, position)
  if (job.doneOccurrences.has(number)) return undefined
  const occurrence = findOccurrence(job, number) ?? openOccurrence(job, number)
  return occurrence.steps[step]?.tasks[index]
}

function restoreRow(job: Job, segment: number, row: SegmentProgress): void {
  const { failedRuns, crashes, checkpoints } = row
  const names = [failedRuns, crashes, checkpoints].flatMap((each) => Object.keys(each))
  for (const name of new Set(names)) {
    const task = taskToRestore(job, segment * SEGMENT_TASKS + Number(name))
    if (!task || task.phase === 'done') continue
    restoreDetails(task, {
      failedRuns: failedRuns[name],
      crashes: crashes[name],
      checkpoint: checkpoints[name],
    })
  }
}
