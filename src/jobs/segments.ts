/**
 * Divides the tasks of a job over all its occurrences into segments of equal size, so that a change of
 * its progress concerns a few small rows however many tasks it has.
 */
import { findOccurrence, isStepDone, occurrencesOf } from './job.js'
import type { Job, Task, TaskPlace } from './job.js'
import type { JobSpec } from './schema.js'

/** Tasks of one segment. */
export const SEGMENT_TASKS = 64

/** Number of tasks of one occurrence. */
export const tasksPerOccurrence = ({ steps }: Pick<JobSpec, 'steps'>): number =>
  steps.reduce((sum, { count }) => sum + count, 0)

/** Number of tasks of a job over all occurrences. */
export const totalTasks = (spec: JobSpec): number =>
  tasksPerOccurrence(spec) * occurrencesOf(spec)

/** Position of a task among all of its job. */
export function positionOf({ step, index }: Pick<Task, 'step' | 'index'>): number {
  const { steps } = step.job.spec
  let position = index
  if (step.occurrence > 0) position += step.occurrence * tasksPerOccurrence({ steps })
  for (let place = 0; place < step.index; place++) position += steps[place]!.count
  return position
}

/** Segment of a position. */
export const segmentAt = (position: number): number =>
  Math.floor(position / SEGMENT_TASKS)

/** First position of a segment, and the one after its last. */
export const boundsOf = (spec: JobSpec, segment: number): [number, number] => [
  segment * SEGMENT_TASKS,
  Math.min((segment + 1) * SEGMENT_TASKS, totalTasks(spec)),
]

/** The place of the task at a position. */
export function placeAt(spec: JobSpec, position: number): TaskPlace {
  const tasks = tasksPerOccurrence(spec)
  let index = position % tasks
  let step = 0
  while (index >= spec.steps[step]!.count) index -= spec.steps[step++]!.count
  return { occurrence: Math.floor(position / tasks), step, index }
}

/** The task at a position while its step is open; `done`, or undefined if it is not known to be due. */
export function taskAt(job: Job, position: number): Task | 'done' | undefined {
  const { occurrence: number, step: place, index } = placeAt(job.spec, position)
  if (job.doneOccurrences.has(number)) return 'done'
  const step = findOccurrence(job, number)?.steps[place]
  if (!step) return undefined
  const task = isStepDone(step) ? undefined : step.tasks[index]
  return task && task.phase !== 'done' ? task : 'done'
}
