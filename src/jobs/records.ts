/**
 * Rows of jobs in the store. An intake row, one per job, is written by the entry that
 * accepts it; a progress row by the owner of the job's service.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { RowKey } from '../ports/index.js'
import { describeJobProblem, jobSchema, outcomeSchema } from './schema.js'
import type { JobSpec, JobStatus } from './schema.js'
import { parseJson } from '../shared/index.js'

/** Accepted jobs that are not over, and requests to cancel them, in several parts a queue. */
export const INTAKE_TABLE = 'intake'
/**
 * What is kept of jobs that are over; a job's row moves there from the intake, in one
 * transaction. A takeover reads the intake whole: with all jobs of the last three minutes
 * in it, five new owners on links of 1.4 Mbit/s read for 6 s and more, gave up and began anew.
 */
export const ENDED_TABLE = 'ended'
/** Progress of jobs; the part is the service, as for the owner's epoch. */
export const PROGRESS_TABLE = 'progress'
/** Ends the key of a request to cancel; sorts right behind the job's own key. */
const CANCEL_SUFFIX = '.cancel'

/**
 * Parts of the intake of one queue. The store writes a part one transaction after another:
 * slowed 60 times, one part took 3 jobs a second, where a queue's peak brings 20 to 40.
 */
const INTAKE_PARTS = 8

/** The part of a job's rows; ids are random, so the jobs of a queue spread evenly. */
function intakePart(queue: string, id: string): string {
  const last = id.charCodeAt(id.length - 1) || 0
  return `${queue}/${last % INTAKE_PARTS}`
}

/** The queue whose jobs lie in a part of the intake. */
export const queueOfPart = (part: string): string => part.slice(0, part.lastIndexOf('/'))

/** Where a job's intake row lies. */
export const intakeKey = (queue: string, id: string): RowKey => ({
  table: INTAKE_TABLE,
  part: intakePart(queue, id),
  key: id,
})
/** Where the request to cancel a job lies: in the part of the job's row. */
export const cancelKey = (queue: string, id: string): RowKey => ({
  table: INTAKE_TABLE,
  part: intakePart(queue, id),
  key: id + CANCEL_SUFFIX,
})
/** Where the row of a job that is over lies: in the part of its intake row. */
export const endedKey = (queue: string, id: string): RowKey => ({
  table: ENDED_TABLE,
  part: intakePart(queue, id),
  key: id,
})
/** Where a job's progress row lies. */
export const progressKey = (service: string, id: string): RowKey => ({
  table: PROGRESS_TABLE,
  part: service,
  key: id,
})

/** Where a row lies within its table. */
type PartAndKey = Pick<RowKey, 'part' | 'key'>

/** What a row of the intake table says. */
export type IntakeRow =
  | { kind: 'job'; id: string; job: JobSpec }
  | { kind: 'cancel'; id: string }
  | { kind: 'invalid'; id: string; reason: string }

/** The intake row of a job. */
export function encodeJob(job: JobSpec): string {
  return JSON.stringify(job)
}

/** The job that a row brings; the error says why it is none. */
function decodeJob(row: PartAndKey, value: string): Result<JobSpec, string> {
  const json = parseJson(value)
  if (json === undefined) return err('not JSON')
  const parsed = jobSchema.safeParse(json)
  if (!parsed.success) return err(z.prettifyError(parsed.error))
  const { id, queue } = parsed.data
  if (id !== row.key || intakePart(queue, id) !== row.part)
    return err('a job of another row')
  const problem = describeJobProblem(parsed.data)
  return problem === undefined ? ok(parsed.data) : err(problem)
}

/**
 * Reads a row of the intake table. What no caller could have handed in is not a job: taken
 * on, it would end its owner, or run beside the job whose id it bears.
 */
export function decodeIntake(row: PartAndKey, value: string): IntakeRow {
  const { key } = row
  if (key.endsWith(CANCEL_SUFFIX)) {
    return { kind: 'cancel', id: key.slice(0, -CANCEL_SUFFIX.length) }
  }
  return decodeJob(row, value).match<IntakeRow>(
    (job) => ({ kind: 'job', id: key, job }),
    (reason) => ({ kind: 'invalid', id: key, reason }),
  )
}

/** What is kept of a job that is over. */
const endedSchema = z.object({
  queue: z.string(),
  service: z.string(),
  outcome: outcomeSchema,
  tasks: z.number(),
  acceptedAtMs: z.number(),
  /** When the outcome was reached, by the wall clock of the owner; for clearing rows. */
  endedAtMs: z.number(),
})
/** What the row of a job that is over says. */
export type EndedJob = z.infer<typeof endedSchema>

/** The row of a job that is over. */
export function encodeEnded(ended: EndedJob): string {
  return JSON.stringify(ended)
}

/** Reads the row of a job that is over; undefined when it has the wrong shape. */
export function decodeEnded(value: string): EndedJob | undefined {
  return endedSchema.safeParse(parseJson(value)).data
}

/** Most failed runs of one task in a row: far more than any queue allows attempts. */
const MAX_FAILED_RUNS = 10_000

/**
 * Role of a run in the crash of its target.
 * `sole`: all recently started runs are of one job, and the last began right before the crash.
 * `shared`: a recently started run, possibly one of several.
 * `present`: not recently started, and neither was any other run on the target.
 */
const crashRoleSchema = z.enum(['sole', 'shared', 'present'])
/** Role of a run in the crash of its target. */
export type CrashRole = z.infer<typeof crashRoleSchema>

/** Progress of one job. Tasks are named by `OCCURRENCE.STEP.INDEX`. */
const progressSchema = z.object({
  /** Done tasks by `OCCURRENCE.STEP`; `all` when the whole step is done. */
  done: z.record(z.string(), z.union([z.literal('all'), z.array(z.int().min(0))])),
  /** Numbers of failed runs by task: counted once, however often an end is reported. */
  failedRuns: z.record(z.string(), z.array(z.int().min(0)).max(MAX_FAILED_RUNS)),
  /** Target crashes by task: run number and role of the run. */
  crashes: z
    .record(
      z.string(),
      z.array(z.tuple([z.int().min(0), crashRoleSchema])).max(MAX_FAILED_RUNS),
    )
    .default({}),
  /** Checkpoints of tasks that are not running, by task. */
  checkpoints: z.record(z.string(), z.string()),
  outcome: outcomeSchema.optional(),
  /** When the outcome was reached, by the wall clock of the owner; for clearing rows. */
  endedAtMs: z.number().optional(),
})
/** What a progress row says. */
export type Progress = z.infer<typeof progressSchema>

/** Reads a progress row; undefined when it has the wrong shape. */
export function decodeProgress(value: string): Progress | undefined {
  const parsed = progressSchema.safeParse(parseJson(value))
  return parsed.success ? parsed.data : undefined
}

/** State of a job by its rows alone. */
export function storedStatus(
  cancelled: boolean,
  progress: Progress | undefined,
): JobStatus {
  if (progress?.outcome) return progress.outcome
  if (cancelled) return 'cancelled'
  return progress ? 'running' : 'queued'
}
