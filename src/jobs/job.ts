/** State of a job while its service's owner runs it. */
import { createJobDelays } from './jobDelays.js'
import type { JobDelays } from './jobDelays.js'
import type { CrashRole } from './records.js'
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
  /** Roles in target crashes by run number; of a gang, only its first task keeps them. */
  crashes: Map<number, CrashRole>
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
  /** Tasks that may have crashed a target and have had no stable run since. */
  crashSuspects: Set<Task>
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

/** One accepted job. */
export interface Job {
  spec: JobSpec
  occurrences: Occurrence[]
  openOccurrences: number
  /** Whether a run of a task has begun, as a target has said; an order alone is no run. */
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
  /** Steady time at which its owner took it on, in ms. */
  arrivedAt: number
  /** Tasks that are placed. */
  placed: number
  /** Steady time since which no task is placed, in ms; means nothing while one is. */
  idleSince: number
  /** What has delayed it so far. */
  delays: JobDelays
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
    placed: 0,
    idleSince: arrivedAt,
    delays: createJobDelays(),
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
    crashSuspects: new Set(),
  }
  for (let each = 0; each < spec.count; each++) {
    step.tasks.push({
      name: `${job.spec.id}.${occurrence}.${index}.${each}`,
      step,
      index: each,
      phase: 'blocked',
      run: 0,
      failedRuns: new Set(),
      crashes: new Map(),
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

/** Whether all tasks of a step are done. */
export function isStepDone(step: Step | undefined): boolean {
  return step !== undefined && step.doneCount === step.tasks.length
}

/** The state that a caller may be shown. An outcome counts once it is durable. */
export function statusOf(job: Job): JobStatus {
  if (job.durableOutcome) return job.durableOutcome
  if (job.cancelRequested) return 'cancelled'
  return job.begun ? 'running' : 'queued'
}
