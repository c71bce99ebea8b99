/** State of a job in the memory of the owner of its service. */
import { createRangeSet } from '../shared/index.js'
import type { RangeSet } from '../shared/index.js'
import { createJobDelays } from './jobDelays.js'
import type { JobDelays } from './jobDelays.js'
import type { CrashRole } from './records.js'
import type { JobOutcome, JobSpec, JobStatus, StepSpec } from './schema.js'
import type { SegmentLayout } from './segmentRows.js'

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
  failedRuns: ReadonlySet<number>
  /** Roles in target crashes by run number; of a gang, only its first task keeps them. */
  crashes: ReadonlyMap<number, CrashRole>
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
  /** Empty once all tasks are done. */
  tasks: Task[]
  doneCount: number
  unblocked: boolean
  /** Tasks that may have crashed a target and have had no stable run since. */
  crashSuspects: Set<Task>
}

/** One repetition of a job's steps. */
export interface Occurrence {
  number: number
  due: boolean
  steps: Step[]
  openSteps: number
}

/** One accepted job. */
export interface Job {
  spec: JobSpec
  /**
   * Occurrences that are due, or of which a target has reported a run, and that are not done, by
   * rising number. Empty once the job has an outcome.
   */
  occurrences: Occurrence[]
  /** Numbers of the occurrences that are done. */
  doneOccurrences: RangeSet
  /** The lowest number of an occurrence that has not become due. */
  nextOccurrence: number
  /** Whether a target has reported that a run of a task began; a start order is not enough. */
  begun: boolean
  cancelRequested: boolean
  outcome: JobOutcome | undefined
  endedAtMs: number | undefined
  /** Outcome that the store holds; callers are shown only this one. */
  durableOutcome: JobOutcome | undefined
  /** Version of the progress row; 0 while there is none. */
  progressVersion: number
  /** Segments whose progress has changed since it was last encoded. */
  changedSegments: Set<number>
  /** How its progress is stored if one row does not hold it. */
  layout: SegmentLayout | undefined
  /** Whether the store has refused its progress for good. */
  isWithheld: boolean
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
  /** Bytes that are counted for it in the memory of its node. */
  bytes: number
}

/** The settings of a job that the job book uses. */
export interface JobRules {
  /** Infinity if not known. */
  maxAttempts: number
}

/** Number of times that the steps of a job run. */
export const occurrencesOf = ({ repetitions }: Pick<JobSpec, 'repetitions'>): number =>
  Math.max(1, repetitions)

/** Due time of an occurrence, in ms since 1970; 0 to start at once. */
export const dueTimeOf = (
  { repetitions, startAtMs, intervalMs }: JobSpec,
  number: number,
): number => (repetitions > 0 ? startAtMs + number * intervalMs : 0)

/** Creates the state of a job that has not begun; none of its occurrences is due. */
export function createJob(spec: JobSpec, arrivedAt: number): Job {
  const job: Job = {
    spec,
    occurrences: [],
    doneOccurrences: createRangeSet(),
    nextOccurrence: 0,
    begun: false,
    cancelRequested: false,
    outcome: undefined,
    endedAtMs: undefined,
    durableOutcome: undefined,
    progressVersion: 0,
    changedSegments: new Set(),
    layout: undefined,
    isWithheld: false,
    gated: false,
    arrivedAt,
    placed: 0,
    idleSince: arrivedAt,
    delays: createJobDelays(),
    bytes: 0,
  }
  if (spec.repetitions === 0) openOccurrence(job, 0)
  return job
}

/** Index of the first occurrence that has the number or a higher one. */
function indexOfOccurrence({ occurrences }: Job, number: number): number {
  let low = 0
  let high = occurrences.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (occurrences[middle]!.number < number) low = middle + 1
    else high = middle
  }
  return low
}

/** Finds an occurrence that is open; undefined if it is done or not known to be due. */
export function findOccurrence(job: Job, number: number): Occurrence | undefined {
  const found = job.occurrences[indexOfOccurrence(job, number)]
  return found?.number === number ? found : undefined
}

/** Returns an occurrence that is not done, and creates its tasks if it is not open. */
export function openOccurrence(job: Job, number: number): Occurrence {
  const index = indexOfOccurrence(job, number)
  const known = job.occurrences[index]
  if (known?.number === number) return known
  const steps = job.spec.steps.map((spec, place) => createStep(job, number, place, spec))
  const created = { number, due: false, steps, openSteps: steps.length }
  job.occurrences.splice(index, 0, created)
  return created
}

/** Marks an occurrence as done, which takes no memory from then on. */
export function closeOccurrence(job: Job, number: number): void {
  const index = indexOfOccurrence(job, number)
  if (job.occurrences[index]?.number === number) job.occurrences.splice(index, 1)
  job.doneOccurrences.add(number)
}

/** Whether all occurrences of a job are done. */
export const areAllDone = ({ spec, doneOccurrences }: Job): boolean =>
  doneOccurrences.size === occurrencesOf(spec)

function createEmptyStep(
  job: Job,
  occurrence: number,
  index: number,
  spec: StepSpec,
): Step {
  return {
    job,
    occurrence,
    index,
    spec,
    tasks: [],
    doneCount: 0,
    unblocked: false,
    crashSuspects: new Set(),
  }
}

/** Shared by all tasks without failed runs. */
const NO_RUNS: ReadonlySet<number> = new Set()
/** Shared by all tasks without crashes. */
const NO_CRASHES: ReadonlyMap<number, CrashRole> = new Map()

function createTask(step: Step, index: number, phase: TaskPhase): Task {
  const { job, occurrence, index: place } = step
  return {
    name: `${job.spec.id}.${occurrence}.${place}.${index}`,
    step,
    index,
    phase,
    run: 0,
    failedRuns: NO_RUNS,
    crashes: NO_CRASHES,
    checkpoint: '',
    targetId: undefined,
    presentRun: 0,
    startedAt: 0,
    readySince: 0,
  }
}

function createStep(job: Job, occurrence: number, index: number, spec: StepSpec): Step {
  const step = createEmptyStep(job, occurrence, index, spec)
  for (let each = 0; each < spec.count; each++)
    step.tasks.push(createTask(step, each, 'blocked'))
  return step
}

/** Whether a value is the position of one of `count` items. */
const isPosition = (value: number, count: number): boolean =>
  Number.isInteger(value) && value >= 0 && value < count

/**
 * Finds a task by its full name, `JOB.OCCURRENCE.STEP.INDEX`. Nothing is kept of a task whose step
 * is done or whose job has an outcome, so that each search for it returns another object.
 * @param open returns an occurrence that is not open; undefined if the search must not open it
 */
export function findTask(
  job: Job,
  name: string,
  open?: (number: number) => Occurrence,
): Task | undefined {
  const parts = name.split('.')
  const place = {
    occurrence: Number(parts[1]),
    step: Number(parts[2]),
    index: Number(parts[3]),
  }
  const present = findOccurrence(job, place.occurrence)?.steps[place.step]
  return present?.tasks[place.index] ?? findOther(job, place, open)
}

/** A task by the indices that its name has. */
export interface TaskPlace {
  occurrence: number
  step: number
  index: number
}

/** Finds a task that is done, or whose occurrence is not open. */
function findOther(
  job: Job,
  { occurrence: number, step: place, index }: TaskPlace,
  open: ((number: number) => Occurrence) | undefined,
): Task | undefined {
  const spec = job.spec.steps[place]
  if (!spec || !isPosition(number, occurrencesOf(job.spec))) return undefined
  if (!isPosition(index, spec.count)) return undefined
  const isOver = job.outcome !== undefined || job.doneOccurrences.has(number)
  const occurrence = isOver ? undefined : (findOccurrence(job, number) ?? open?.(number))
  if (!occurrence && !isOver) return undefined
  const step = occurrence?.steps[place]
  if (step && !isStepDone(step)) return step.tasks[index]
  const detached = step ?? createEmptyStep(job, number, place, spec)
  return createTask(detached, index, 'done')
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
  return step !== undefined && step.doneCount === step.spec.count
}

/** State of a job as shown to callers. An outcome is shown once it is durable. */
export function statusOf(job: Job): JobStatus {
  if (job.durableOutcome) return job.durableOutcome
  if (job.cancelRequested) return 'cancelled'
  return job.begun ? 'running' : 'queued'
}
