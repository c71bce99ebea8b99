/** Schema of the jobs that callers submit: a job has steps, and each step has equal tasks. */
import { z } from 'zod'
import { idSchema } from '../shared/index.js'

/** Most tasks of one job over all steps, so that one caller cannot exhaust a node. */
export const MAX_TASKS_PER_JOB = 20_000
/**
 * Most tasks of one job over all repetitions: owners of earlier software versions keep each of them in
 * memory.
 */
const MAX_TASKS_OVER_REPETITIONS = 200_000
/** Most steps of one job. */
const MAX_STEPS = 200
/** Longest text that a job may pass to its tasks, in bytes. */
const MAX_SPEC_BYTES = 4000

/** One step: `count` equal tasks. */
const stepSchema = z.object({
  count: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
  /** Processor time that a task requests, in thousandths of a core. */
  cpu: z.number().int().min(0).default(0),
  memMb: z.number().int().min(0).default(0),
  gpu: z.number().int().min(0).default(0),
  /** The caller's estimate of a task's run time, in ms; often inaccurate. */
  estimateMs: z.number().min(0).default(0),
  /** Indices of earlier steps that must be done first. */
  after: z.array(z.number().int().min(0)).default([]),
  checkpoints: z.boolean().default(false),
  /** Tasks work only together: all start as one run, and one end counts for all of them. */
  gang: z.boolean().default(false),
  /** Whether a gang runs slower if it spans racks. */
  sameRack: z.boolean().default(false),
  /** Label that a target must have; empty for any. */
  label: z.string().default(''),
  /** Rack that holds the data; empty for none. */
  dataRack: z.string().default(''),
  /** Most tasks of the step on one target; 0 for no limit. */
  maxPerTarget: z.number().int().min(0).default(0),
  /** Whether copies of a task may run at the same time; the first end counts. */
  duplicates: z.boolean().default(false),
  /** Whether tasks run until the job is cancelled, and are restarted when they end. */
  lasting: z.boolean().default(false),
  /** Image of the tasks; tasks of one image behave alike. Empty if unknown. */
  image: z.string().default(''),
  /** Tail latency below which a serving task should stay, in ms; 0 for no limit. */
  tailMs: z.number().min(0).default(0),
  /** Whether tasks use only processor time that others leave idle; `cpu` then takes no capacity. */
  fills: z.boolean().default(false),
  /** Most tasks of a lasting step that the system itself may interrupt at the same time. */
  mayMiss: z.number().int().min(0).optional(),
})
/** One step of a job. */
export type StepSpec = z.infer<typeof stepSchema>

/**
 * Settings of a queue by which its jobs run. A job keeps those that were in force when it was
 * accepted, whatever later configurations say of its queue.
 */
const queueSettingsSchema = z.object({
  /** 0 is the highest priority. */
  priority: z.number(),
  /** Number of failed runs of a task after which its job fails. */
  maxAttempts: z.number().min(1),
  /** Latency objective of a job: `stretch` times its longest chain plus `latencyMs`. */
  stretch: z.number(),
  latencyMs: z.number(),
  /** Time limits of the advice service; undefined when the queue has no advice policy. */
  advice: z
    .object({ decideMs: z.number(), eachMs: z.number(), validMs: z.number() })
    .optional(),
})
/** Settings of a queue by which its jobs run. */
export type QueueSettings = z.infer<typeof queueSettingsSchema>

/** Picks the settings that a job keeps. */
export const settingsOfQueue = ({
  priority,
  maxAttempts,
  stretch,
  latencyMs,
  advice,
}: QueueSettings): QueueSettings => ({
  priority,
  maxAttempts,
  stretch,
  latencyMs,
  advice,
})

/** Excludes dots, because names of tasks begin with the job's id and a dot. */
const jobIdSchema = idSchema.regex(/^[^.]+$/, 'a job id must not contain a dot')

/** An accepted job. */
export const jobSchema = z.object({
  id: jobIdSchema,
  queue: z.string(),
  /** Service whose targets run the job, as configured when the job was accepted. */
  service: z.string(),
  /** Undefined in rows of software versions that did not store them. */
  settings: queueSettingsSchema.optional(),
  /** Organisation that submitted the job; undefined if its queue needed no key. */
  organisation: z.string().optional(),
  /** Text passed to every task. */
  spec: z.string(),
  steps: z.array(stepSchema).min(1).max(MAX_STEPS),
  /** Number of times that the steps run; 0 runs them once, without waiting for a due time. */
  repetitions: z.number().int().min(0).default(0),
  /** Due time of the first repetition, in ms since 1970. */
  startAtMs: z.number().default(0),
  intervalMs: z.number().min(0).default(0),
  /** Time of acceptance, in ms since 1970 by the wall clock of the accepting node. */
  acceptedAtMs: z.number().default(0),
})
/** An accepted job. */
export type JobSpec = z.infer<typeof jobSchema>

/** Whether the job has tasks that run until it is cancelled. */
export const isLastingJob = ({ steps }: Pick<JobSpec, 'steps'>): boolean =>
  steps.some(({ lasting }) => lasting)

/** Whether the job loses nothing if its tasks start later: it lasts, or is due later. */
export const canWait = (job: Pick<JobSpec, 'steps' | 'repetitions'>): boolean =>
  job.repetitions > 0 || isLastingJob(job)

/** State of a job as callers see it. */
export type JobStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** Final states; a job never leaves them. */
export const outcomeSchema = z.enum(['completed', 'failed', 'cancelled'])
/** A final state. */
export type JobOutcome = z.infer<typeof outcomeSchema>

/** Describes why a job cannot be accepted; undefined if it can. */
export function describeJobProblem(job: JobSpec): string | undefined {
  if (job.steps.length > MAX_STEPS) return `more than ${MAX_STEPS} steps`
  let tasks = 0
  for (const [index, step] of job.steps.entries()) {
    if (step.after.some((each) => each >= index)) {
      return `step ${index} may only wait for earlier steps`
    }
    tasks += step.count
  }
  if (tasks > MAX_TASKS_PER_JOB) return `more than ${MAX_TASKS_PER_JOB} tasks`
  if (tasks * job.repetitions > MAX_TASKS_OVER_REPETITIONS) {
    return `more than ${MAX_TASKS_OVER_REPETITIONS} tasks over all repetitions`
  }
  if (Buffer.byteLength(job.spec) > MAX_SPEC_BYTES) {
    return `spec is longer than ${MAX_SPEC_BYTES} bytes`
  }
  return undefined
}
