/** State of a job while its service's owner runs it. */
import type { Progress } from './records.js'
import type { JobOutcome, JobSpec, JobStatus, StepSpec } from './schema.js'

/**
 * Where a task stands. `blocked`: earlier steps or its due time are open. `ready`: may be
 * started. `placed`: a run was ordered and is not known to have ended.
 */
export type TaskPhase = 'blocked' | 'ready' | 'placed' | 'done' | 'failed'

/** One task. */
export interface Task {
  /** `JOB.OCCURRENCE.STEP.INDEX` */
  name: string
  step: Step
  index: number
  phase: TaskPhase
  /** Highest run number used so far. */
  run: number
  /** Numbers of the runs that failed; of a gang, only its first task keeps them. */
  failedRuns: Set<number>
  /** Checkpoint to resume from; empty when there is none. */
  checkpoint: string
  /** Target of the present run. */
  targetId: string | undefined
  /** Steady time of the start order, in ms. */
  startedAt: number
  /** Steady time since which the task may start, in ms. */
  readySince: number
}

/** One step of one occurrence. */
export interface Step {
  job: Job
  occurrence: number
  index: number
  spec: StepSpec
  tasks: Task[]
  doneCount: number
  unblocked: boolean
}

/** One repetition of a job's steps. */
export interface Occurrence {
  number: number
  /** Due time, in ms since 1970; 0 for at once. */
  dueAtMs: number
  due: boolean
  steps: Step[]
  openSteps: number
}

export interface Job {
  spec: JobSpec
  occurrences: Occurrence[]
  openOccurrences: number
  begun: boolean
  cancelRequested: boolean
  outcome: JobOutcome | undefined
  endedAtMs: number | undefined
  /** Outcome that the store holds; only this one may be shown. */
  durableOutcome: JobOutcome | undefined
  /** Version of the progress row; 0 while there is none. */
  progressVersion: number
  /** Tasks must wait until the runs of the previous owner are known. */
  gated: boolean
  arrivedAt: number
}

/** What the job book needs of a queue's configuration. */
export interface JobRules {
  maxAttempts: number
}

/** Makes the state of a job that has not begun. Nothing is due yet. */
export function createJob(spec: JobSpec, arrivedAt: number): Job {
  const job: Job = {
    spec,
    occurrences: [],
    openOccurrences: 0,
    begun: false,
    cancelRequested: false,
    outcome: undefined,
    endedAtMs: undefined,
    durableOutcome: undefined,
    progressVersion: 0,
    gated: false,
    arrivedAt,
  }
  const count = Math.max(1, spec.repetitions)
  for (let number = 0; number < count; number++) {
    job.occurrences.push(createOccurrence(job, number))
  }
  job.openOccurrences = count
  return job
}

function createOccurrence(job: Job, number: number): Occurrence {
  const { repetitions, startAtMs, intervalMs } = job.spec
  const dueAtMs = repetitions > 0 ? startAtMs + number * intervalMs : 0
  const steps = job.spec.steps.map((spec, index) => createStep(job, number, index, spec))
  return { number, dueAtMs, due: false, steps, openSteps: steps.length }
}

function createStep(job: Job, occurrence: number, index: number, spec: StepSpec): Step {
  const step: Step = {
    job,
    occurrence,
    index,
    spec,
    tasks: [],
    doneCount: 0,
    unblocked: false,
  }
  for (let each = 0; each < spec.count; each++) {
    step.tasks.push({
      name: `${job.spec.id}.${occurrence}.${index}.${each}`,
      step,
      index: each,
      phase: 'blocked',
      run: 0,
      failedRuns: new Set(),
      checkpoint: '',
      targetId: undefined,
      startedAt: 0,
      readySince: 0,
    })
  }
  return step
}

/** Finds a task by its full name. */
export function findTask(job: Job, name: string): Task | undefined {
  const [, occurrence, step, index] = name.split('.')
  return job.occurrences[Number(occurrence)]?.steps[Number(step)]?.tasks[Number(index)]
}

/** The job's id in a task's name. */
export const jobIdOf = (task: string): string => task.slice(0, task.indexOf('.'))

/** Every task of a job. */
export function* tasksOf(job: Job): Generator<Task> {
  for (const occurrence of job.occurrences) {
    for (const step of occurrence.steps) yield* step.tasks
  }
}

/** Whether a step's dependencies are all done. */
export function isUnblocked(occurrence: Occurrence, step: Step): boolean {
  if (!occurrence.due) return false
  return step.spec.after.every((index) => isStepDone(occurrence.steps[index]))
}

export function isStepDone(step: Step | undefined): boolean {
  return step !== undefined && step.doneCount === step.tasks.length
}

/** The state that a caller may be shown. An outcome counts once it is durable. */
export function statusOf(job: Job): JobStatus {
  if (job.durableOutcome) return job.durableOutcome
  if (job.cancelRequested) return 'cancelled'
  return job.begun ? 'running' : 'queued'
}

/** The progress row of a job. */
export function encodeProgress(job: Job): string {
  const progress: Progress = { done: {}, failedRuns: {}, checkpoints: {} }
  if (job.outcome) progress.outcome = job.outcome
  if (job.endedAtMs !== undefined) progress.endedAtMs = job.endedAtMs
  // A finished job needs no details: nothing of it is started again.
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
    const idle = task.phase === 'ready' || task.phase === 'blocked'
    if (idle && task.checkpoint !== '') progress.checkpoints[name] = task.checkpoint
  }
}

/** Brings a new job's state to what a progress row says. */
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
    task.run = Math.max(0, ...task.failedRuns)
    task.checkpoint = progress.checkpoints[name] ?? ''
    if (done === 'all' || done?.includes(task.index)) {
      task.phase = 'done'
      step.doneCount++
    }
  }
}
