/** State of a job in the memory of the owner of its service. */
import { createJobDelays } from './jobDelays.js'
import type { JobDelays } from './jobDelays.js'
import type { CrashRole } from './records.js'
import type { JobOutcome, JobSpec, JobStatus, StepSpec } from './schema.js'

/**
 * Phase of a task. `blocked`: waits for earlier steps or for its due time. `ready`: may be
 * started. `placed`: a run was ordered and is not known to have ended.
 */
export type TaskPhase = 'blocked' | 'ready' | 'placed' | 'done' | 'failed'

/** A second run of a task, concurrent with its present run. */
export interface TaskCopy {
  targetId: string
  run: number
  /** Monotonic time of its start order or adoption, in ms. */
  orderedAt: number
  /** Time at which its target was first known to run it, in ms (monotonic); Infinity before. */
  startedAt: number
}

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
  /** Number of the present run; a concurrent copy may have a higher one. */
  presentRun: number
  /** The second run of a placed task; steps without `duplicates` never have one. */
  copy?: TaskCopy | undefined
  /**
   * Time at which the target was first known to run the present run, in ms of the monotonic clock;
   * Infinity before. The time since the start order would also contain the delay of the owner itself.
   */
  startedAt: number
  /** Time since which the task may start, in ms of the monotonic clock. */
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
  /** Due time, in ms since 1970; 0 to start at once. */
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
  /** Whether a target has reported that a run of a task began; a start order is not enough. */
  begun: boolean
  cancelRequested: boolean
  outcome: JobOutcome | undefined
  endedAtMs: number | undefined
  /** Outcome that the store holds; callers are shown only this one. */
  durableOutcome: JobOutcome | undefined
  /** Version of the progress row; 0 while there is none. */
  progressVersion: number
  /** Whether tasks must not start yet, because the runs of the previous owner are not known. */
  gated: boolean
  /** Time at which this owner added the job, in ms of the monotonic clock. */
  arrivedAt: number
  /** Number of placed tasks. */
  placed: number
  /** Time since which no task is placed, in ms of the monotonic clock; valid if `placed` is 0. */
  idleSince: number
  /** Longest delays so far. */
  delays: JobDelays
}

/** The settings of a job that the job book uses. */
export interface JobRules {
  /** Infinity if not known. */
  maxAttempts: number
}

/** Creates the state of a job that has not begun; none of its occurrences is due. */
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
      presentRun: 0,
      startedAt: 0,
      readySince: 0,
    })
  }
  return step
}

/** Finds a task by its full name, `JOB.OCCURRENCE.STEP.INDEX`. */
export function findTask(job: Job, name: string): Task | undefined {
  const [, occurrence, step, index] = name.split('.')
  return job.occurrences[Number(occurrence)]?.steps[Number(step)]?.tasks[Number(index)]
}

/** Time at which a run of the task was first known to run, in ms; Infinity before. */
export const startOfRun = ({ copy, startedAt }: Task, run: number): number =>
  copy && copy.run === run ? copy.startedAt : startedAt

/** Extracts the job id from a task's full name. */
export const jobIdOf = (task: string): string => task.slice(0, task.indexOf('.'))

/** Every task of a job. */
export function* tasksOf(job: Job): Generator<Task> {
  for (const occurrence of job.occurrences) {
    for (const step of occurrence.steps) yield* step.tasks
  }
}

/** Whether the occurrence is due and all dependencies of the step are done. */
export function isUnblocked(occurrence: Occurrence, step: Step): boolean {
  if (!occurrence.due) return false
  return step.spec.after.every((index) => isStepDone(occurrence.steps[index]))
}

/** Whether all tasks of a step are done. */
export function isStepDone(step: Step | undefined): boolean {
  return step !== undefined && step.doneCount === step.tasks.length
}

/** State of a job as shown to callers. An outcome is shown once it is durable. */
export function statusOf(job: Job): JobStatus {
  if (job.durableOutcome) return job.durableOutcome
  if (job.cancelRequested) return 'cancelled'
  return job.begun ? 'running' : 'queued'
}
