/**
 * Rows of jobs in the store. The entry that accepts a job writes its intake row; the owner of
 * the job's service writes its progress row.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { RowKey } from '../ports/index.js'
import { describeJobProblem, jobSchema, outcomeSchema } from './schema.js'
import type { JobSpec, JobStatus } from './schema.js'
import { parseJson } from '../shared/index.js'

/** Table of unfinished jobs and of requests to cancel them, in several parts per queue. */
export const INTAKE_TABLE = 'intake'
/**
 * Table of finished jobs; one transaction moves a job's row here from the intake. A takeover
 * reads the whole intake: with all jobs of the last three minutes in it, five new owners on
 * links of 1.4 Mbit/s read for 6 s and more, give up and start again.
 */
export const ENDED_TABLE = 'ended'
/** Table of job progress; the part is the service, as for the owner's epoch. */
export const PROGRESS_TABLE = 'progress'
/** Suffix of the key of a request to cancel; such a key sorts right after the job's key. */
const CANCEL_SUFFIX = '.cancel'

/**
 * Number of intake parts per queue. The store runs the transactions of a part one at a time:
 * slowed 60 times it accepts 3 jobs a second in one part, while a queue's peak brings 20 to 40.
 */
const INTAKE_PARTS = 8

/** The part of a job's rows. Ids are random, so the jobs of a queue spread evenly over parts. */
function intakePart(queue: string, id: string): string {
  const last = id.charCodeAt(id.length - 1) || 0
  return `${queue}/${last % INTAKE_PARTS}`
}

/** The queue that a part of the intake belongs to. */
export const queueOfPart = (part: string): string => part.slice(0, part.lastIndexOf('/'))

/** Key of a job's intake row. */
export const intakeKey = (queue: string, id: string): RowKey => ({
  table: INTAKE_TABLE,
  part: intakePart(queue, id),
  key: id,
})
/** Key of the request to cancel a job, in the same part as the job's intake row. */
export const cancelKey = (queue: string, id: string): RowKey => ({
  table: INTAKE_TABLE,
  part: intakePart(queue, id),
  key: id + CANCEL_SUFFIX,
})
/** Key of the row of a finished job, in the part of the same name as its intake row. */
export const endedKey = (queue: string, id: string): RowKey => ({
  table: ENDED_TABLE,
  part: intakePart(queue, id),
  key: id,
})
/** Key of a job's progress row. */
export const progressKey = (service: string, id: string): RowKey => ({
  table: PROGRESS_TABLE,
  part: service,
  key: id,
})

/** Table with the progress of large jobs by segment; the part is that of their main rows. */
export const PROGRESS_PARTS_TABLE = 'progressParts'
/** Key of a row of a segment: the id of the job, and the end of the key. */
export const progressPartKey = (service: string, id: string, end: string): RowKey => ({
  table: PROGRESS_PARTS_TABLE,
  part: service,
  key: `${id}/${end}`,
})

/** Position of a row within its table. */
type PartAndKey = Pick<RowKey, 'part' | 'key'>

/** A decoded row of the intake table. */
export type IntakeRow =
  | { kind: 'job'; id: string; job: JobSpec }
  | { kind: 'cancel'; id: string; queue: string }
  | { kind: 'invalid'; id: string; reason: string }

/** Id of the job that a row of the intake belongs to, by the key of the row. */
export const intakeIdOf = (key: string): string =>
  key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : key

/** Encodes the intake row of a job. */
export function encodeJob(job: JobSpec): string {
  return JSON.stringify(job)
}

/** Decodes a job; the error says why the row holds no valid job. */
function decodeJob(row: PartAndKey, value: string): Result<JobSpec, string> {
  const json = parseJson(value)
  if (json === undefined) return err('not JSON')
  const parsed = jobSchema.safeParse(json)
  if (!parsed.success) return err(z.prettifyError(parsed.error))
  const { id, queue } = parsed.data
  if (id !== row.key || intakePart(queue, id) !== row.part)
    return err('id or queue of the job does not match the key of the row')
  const problem = describeJobProblem(parsed.data)
  return problem === undefined ? ok(parsed.data) : err(problem)
}

/**
 * Decodes a row of the intake table. A job that no caller could have submitted is invalid: it
 * could crash its owner, or run in addition to the job whose id it has.
 */
export function decodeIntake(row: PartAndKey, value: string): IntakeRow {
  const { key } = row
  if (key.endsWith(CANCEL_SUFFIX)) {
    const queue = queueOfPart(row.part)
    return { kind: 'cancel', id: intakeIdOf(key), queue }
  }
  return decodeJob(row, value).match<IntakeRow>(
    (job) => ({ kind: 'job', id: key, job }),
    (reason) => ({ kind: 'invalid', id: key, reason }),
  )
}

/** Row of a finished job. */
const endedSchema = z.object({
  queue: z.string(),
  service: z.string(),
  organisation: z.string().optional(),
  outcome: outcomeSchema,
  tasks: z.number(),
  acceptedAtMs: z.number(),
  /** Time of the outcome, in ms since 1970 by the owner's wall clock; used to clear old rows. */
  endedAtMs: z.number(),
})
/** A decoded row of a finished job. */
export type EndedJob = z.infer<typeof endedSchema>

/** Encodes the row of a finished job. */
export function encodeEnded(ended: EndedJob): string {
  return JSON.stringify(ended)
}

/** Decodes the row of a finished job; undefined if it has the wrong shape. */
export function decodeEnded(value: string): EndedJob | undefined {
  return endedSchema.safeParse(parseJson(value)).data
}

/** Most failed runs of one task that a row may list: far more than the attempts of any queue. */
export const MAX_FAILED_RUNS = 10_000

/**
 * Role of a run in the crash of its target.
 * `sole`: all recently started runs are of one job, and the last began right before the crash.
 * `shared`: a recently started run, possibly one of several.
 * `present`: not recently started, and neither was any other run on the target.
 */
export const crashRoleSchema = z.enum(['sole', 'shared', 'present'])
/** Role of a run in the crash of its target. */
export type CrashRole = z.infer<typeof crashRoleSchema>

/** Progress row of one job. Tasks are named `OCCURRENCE.STEP.INDEX`. */
const progressSchema = z.object({
  /** Indices of done tasks by `OCCURRENCE.STEP`; `all` if the whole step is done. */
  done: z.record(z.string(), z.union([z.literal('all'), z.array(z.int().min(0))])),
  /** Numbers of failed runs by task, so that an end that is reported again counts once. */
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
  /** Time of the outcome, in ms since 1970 by the owner's wall clock; used to clear old rows. */
  endedAtMs: z.number().optional(),
})
/** A decoded progress row. */
export type Progress = z.infer<typeof progressSchema> & {
  /** Only of a large job: what its main row tells of its segments. */
  segments?: { done: [number, number][]; writes: number }
}

const EMPTY_PROGRESS = { done: {}, failedRuns: {}, crashes: {}, checkpoints: {} }

/** Main row of the progress of a large job, whose other rows have the details. */
const mainSchema = z
  .object({
    segmented: z.literal(1),
    /** Ranges of segments that are done. */
    done: z.array(z.tuple([z.int().min(0), z.int().min(0)])),
    writes: z.int().min(0),
  })
  .transform(({ done, writes }): Progress => ({
    ...EMPTY_PROGRESS,
    segments: { done, writes },
  }))

/** Decodes a progress row; undefined if it has the wrong shape. */
export function decodeProgress(value: string): Progress | undefined {
  const json = parseJson(value)
  return progressSchema.safeParse(json).data ?? mainSchema.safeParse(json).data
}

/**
 * Value of the row of a job whose progress the store does not take. A successor that cannot know what is
 * done holds the job.
 */
export const WITHHELD_PROGRESS = JSON.stringify({ withheld: true })

/** State of a job derived from its rows alone. */
export function storedStatus(
  cancelled: boolean,
  progress: Progress | undefined,
): JobStatus {
  if (progress?.outcome) return progress.outcome
  if (cancelled) return 'cancelled'
  return progress ? 'running' : 'queued'
}
