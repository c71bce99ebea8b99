/** Converts between a job's state and its progress row. */
import { addCrash } from './crashes.js'
import { isStepDone } from './job.js'
import type { Job, Step } from './job.js'
import type { Progress } from './records.js'

/** Encodes the progress row of a job. */
export function encodeProgress(job: Job): string {
  const progress: Progress = { done: {}, failedRuns: {}, crashes: {}, checkpoints: {} }
  if (job.outcome) progress.outcome = job.outcome
  if (job.endedAtMs !== undefined) progress.endedAtMs = job.endedAtMs
  // No task of a finished job is started again, so its row needs no details.
  if (job.outcome) return JSON.stringify(progress)
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
  for (const occurrence of job.occurrences) {
    for (const step of occurrence.steps) restoreStep(progress, step)
    occurrence.openSteps = occurrence.steps.filter((step) => !isStepDone(step)).length
  }
  job.openOccurrences = job.occurrences.filter(({ openSteps }) => openSteps > 0).length
  job.begun ||= Object.keys(progress.done).length > 0
}

function restoreStep(progress: Progress, step: Step): void {
  const stepName = `${step.occurrence}.${step.index}`
  const done = progress.done[stepName]
  for (const task of step.tasks) {
    const name = `${stepName}.${task.index}`
    task.failedRuns = new Set(progress.failedRuns[name])
    for (const [run, role] of progress.crashes[name] ?? []) addCrash(task, run, role)
    task.run = Math.max(0, ...task.failedRuns, ...task.crashes.keys())
    task.checkpoint = progress.checkpoints[name] ?? ''
    if (done === 'all' || done?.includes(task.index)) {
      task.phase = 'done'
      step.doneCount++
      // A done task that remained a suspect would keep the other tasks of its step from starting.
      step.crashSuspects.delete(task)
    }
  }
}
