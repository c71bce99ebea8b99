/** Converts between a job's state and its progress row. */
import { addCrash } from './crashes.js'
import { closeOccurrence, isStepDone, occurrencesOf, openOccurrence } from './job.js'
import type { Job, Step } from './job.js'
import type { Progress } from './records.js'

/** Encodes the progress row of a job. */
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

/** Sets the state of a newly created job from its progress row. */
export function restoreProgress(job: Job, progress: Progress): void {
  job.outcome = progress.outcome
  job.durableOutcome = progress.outcome
  job.endedAtMs = progress.endedAtMs
  job.begun ||= Object.keys(progress.done).length > 0
  if (job.outcome) return
  for (const number of occurrencesIn(progress)) {
    if (!(number >= 0 && number < occurrencesOf(job.spec))) continue
    restoreOccurrence(job, number, progress)
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

function restoreOccurrence(job: Job, number: number, progress: Progress): void {
  const isDone = job.spec.steps.every(
    (_, index) => progress.done[`${number}.${index}`] === 'all',
  )
  if (isDone) return closeOccurrence(job, number)
  const occurrence = openOccurrence(job, number)
  for (const step of occurrence.steps) restoreStep(progress, step)
  occurrence.openSteps = occurrence.steps.filter((step) => !isStepDone(step)).length
  if (occurrence.openSteps === 0) closeOccurrence(job, number)
}

function restoreStep(progress: Progress, step: Step): void {
  const stepName = `${step.occurrence}.${step.index}`
  const stored = progress.done[stepName]
  const done = new Set(stored === 'all' ? [] : stored)
  for (const task of step.tasks) {
    const name = `${stepName}.${task.index}`
    if (progress.failedRuns[name]) task.failedRuns = new Set(progress.failedRuns[name])
    for (const [run, role] of progress.crashes[name] ?? []) addCrash(task, run, role)
    task.run = Math.max(0, ...task.failedRuns, ...task.crashes.keys())
    task.checkpoint = progress.checkpoints[name] ?? ''
    if (stored === 'all' || done.has(task.index)) {
      task.phase = 'done'
      step.doneCount++
      // A done task that remained a suspect would keep the other tasks of its step from starting.
      step.crashSuspects.delete(task)
    }
  }
  if (isStepDone(step)) step.tasks = []
}
